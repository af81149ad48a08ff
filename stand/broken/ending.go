package broken

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Ending is a way in which a server ends an answer without a length, of whose request it has read no more than the head.
type Ending struct {
	Name string
	// NeedsUpload is set if the request must have more bytes than the server reads with its head.
	NeedsUpload bool
	end         func(c *net.TCPConn)
}

// endingPause is longer than a client takes to read what was sent before.
const endingPause = 60 * time.Millisecond

// BreakOffs returns the ways that break off the answer.
func BreakOffs() []Ending {
	return []Ending{
		{"reset", false, reset},
		{"reset after a pause", false, afterPause(reset)},
		{"closed with unread data", true, closeUnread},
		{"closed with unread data after a pause", true, afterPause(closeUnread)},
	}
}

// OrderlyEndings returns the ways after which the answer is complete.
func OrderlyEndings() []Ending {
	return []Ending{
		{"closed for sending", false, closeSending},
		{"closed for sending, then reset", false, closeSendingThenReset},
	}
}

func afterPause(end func(*net.TCPConn)) func(*net.TCPConn) {
	return func(c *net.TCPConn) {
		time.Sleep(endingPause)
		end(c)
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// closeUnread closes a connection in the usual way while a part of the request is unread, upon which the system resets it.
func closeUnread(c *net.TCPConn) {
	waitForData(c)
	_ = c.Close()
}

// waitForData waits until a connection has data to read, or is closed by its client.
func waitForData(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK)
		return !errors.Is(err, syscall.EAGAIN)
	})
}

// closeSending ends the answer and reads the rest of the request.
func closeSending(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c) // the client may be gone
}

func closeSendingThenReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	afterPause(reset)(c)
}

// StartEarly starts a Server that answers each HTTP/1.1 request when it has read its head, and ends the answer in the given way.
func StartEarly(e Ending, answer func(r *http.Request) string) (*Server, error) {
	return start(func(s *Server, c net.Conn) {
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return // the client has closed the connection
		}
		s.requests.Add(1)
		_, _ = io.WriteString(c, answer(r)) // the client may be gone
		e.end(c.(*net.TCPConn))
	})
}

// Unframed returns an answer without a length, which ends with its connection.
func Unframed(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n\r\n%s", status, http.StatusText(status), body)
}
