package link

import (
	"errors"
	"net"
	"os"
	"time"

	"snipeshed/io/reset"
)

// ErrSilent means that the remote kernel acknowledged neither data nor probes for silenceTimeout.
var ErrSilent = errors.New("connection is silent: the other end acknowledges nothing")

const (
	// probeInterval is the smallest keep-alive interval of the kernel.
	probeInterval = time.Second
	// silenceTimeout leaves time for a second probe, so that one lost packet does not end a connection.
	silenceTimeout = 2400 * time.Millisecond
	// checkInterval plus silenceTimeout is 2.6 s, below the 3 s within which a call must detect its dead connection.
	checkInterval = 200 * time.Millisecond
	// minUnansweredProbes is the number of unanswered keep-alive or zero-window probes that show a dead connection.
	minUnansweredProbes = 2
	// maxProbes lets the kernel end a dead connection after 5 s on systems where its state cannot be read.
	maxProbes = 4
)

// probedConn is a TCP connection whose Read fails with ErrSilent when the connection is dead.
//
// The kernel probes the connection while it is idle, and the remote kernel answers however slow its application is.
// TCP_USER_TIMEOUT would detect dead connections as well, but it also ends live ones whose application does not read its
// request for a while (zero window).
type probedConn struct {
	net.Conn
	tcp *net.TCPConn
}

// newProbedConn enables probes on a counted TCP connection; it returns any other connection unchanged.
func newProbedConn(c net.Conn) (net.Conn, error) {
	tcp := tcpConn(c)
	if tcp == nil {
		return c, nil
	}
	err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: maxProbes})
	if err != nil {
		c.Close()
		return nil, err
	}
	return &probedConn{Conn: c, tcp: tcp}, nil
}

// tcpConn returns the TCP connection below a counted one, or nil if there is none.
func tcpConn(c net.Conn) *net.TCPConn {
	counted, ok := c.(*countedConn)
	if !ok {
		return nil
	}
	below, ok := counted.Conn.(*reset.Conn)
	if !ok {
		return nil
	}
	tcp, _ := below.NetConn().(*net.TCPConn)
	return tcp
}

// Read checks the connection every checkInterval while it waits for data. It overrides the read deadline.
func (c *probedConn) Read(b []byte) (int, error) {
	for {
		if err := c.SetReadDeadline(time.Now().Add(checkInterval)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if isSilent(c.tcp) {
			return 0, ErrSilent
		}
	}
}
