package link

import (
	"errors"
	"net"
	"os"
	"time"
)

// ErrSilent means that the other end's kernel acknowledged nothing for silentAfter, probes included.
var ErrSilent = errors.New("connection is silent: the other end acknowledges nothing")

const (
	// probeInterval is the smallest that the kernel's keep-alive has.
	probeInterval = time.Second
	// silentAfter leaves time for a second probe: one lost packet is not taken for a dead connection.
	silentAfter = 2400 * time.Millisecond
	// checkInterval and silentAfter make 2.6 s, below the 3 s in which a call must hear of its dead connection.
	checkInterval = 200 * time.Millisecond
	// silentProbes is the number of unanswered probes, or zero-window probes, that silence takes.
	silentProbes = 2
	// maxProbes ends a connection after 5 s where the kernel's state cannot be read.
	maxProbes = 4
)

// probedConn is a TCP connection whose Read fails with ErrSilent when the connection is dead.
//
// The kernel probes the connection while it is idle, and the other end's kernel answers however slow its application is.
// TCP_USER_TIMEOUT would find dead connections as well, but it also ends live ones whose application does not take its
// request for a while (zero window).
type probedConn struct {
	net.Conn
	tcp *net.TCPConn
}

// newProbedConn returns c itself unless it is a counted TCP connection.
func newProbedConn(c net.Conn) (net.Conn, error) {
	counted, ok := c.(*countedConn)
	if !ok {
		return c, nil
	}
	tcp, ok := counted.Conn.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxProbes})
	if err != nil {
		c.Close()
		return nil, err
	}
	return &probedConn{Conn: c, tcp: tcp}, nil
}

// Read reads; it uses the read deadline itself.
func (c *probedConn) Read(b []byte) (int, error) {
	for {
		if err := c.SetReadDeadline(time.Now().Add(checkInterval)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if silent(c.tcp) {
			return 0, ErrSilent
		}
	}
}
