package link

import (
	"net"

	"golang.org/x/sys/unix"
)

// dropPackets attaches or detaches a socket filter that drops every incoming packet; it needs no privileges.
func dropPackets(c *net.TCPConn, on bool) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		if !on {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	})
	if err != nil {
		return err
	}
	return optionErr
}
