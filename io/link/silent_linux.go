package link

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// isSilent reports whether the remote kernel has sent nothing for silenceTimeout although data or probes are unacknowledged.
func isSilent(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false // the connection is closed; the next read returns an error
	}
	var info *unix.TCPInfo
	err = raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || info == nil {
		return false
	}
	silence := time.Duration(min(info.Last_ack_recv, info.Last_data_recv)) * time.Millisecond
	return silence >= silenceTimeout && (info.Unacked > 0 || info.Probes >= minUnansweredProbes)
}
