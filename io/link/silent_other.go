//go:build !linux

package link

import "net"

// isSilent returns false; the kernel ends a dead connection after maxProbes.
func isSilent(*net.TCPConn) bool { return false }
