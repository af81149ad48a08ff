//go:build !linux

package link

import (
	"errors"
	"net"
)

func dropPackets(*net.TCPConn, bool) error { return errors.ErrUnsupported }
