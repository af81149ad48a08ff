package link

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// silent reports whether the other end of a connection has acknowledged nothing for silentAfter although it was asked to.
func silent(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false // the connection is closed; the next read says so
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || info == nil {
		return false
	}
	quiet := time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond
	return quiet >= silentAfter && (info.Unacked > 0 || info.Probes >= silentProbes)
}
