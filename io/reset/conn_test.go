package reset_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"snipeshed/io/reset"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// connect returns a Conn and the other end of its connection.
func connect(t *testing.T) (net.Conn, *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	c, err := reset.WrapDial(new(net.Dialer).DialContext)(t.Context(), "tcp", ln.Addr().String())
	is.NoErr(err)
	other, err := ln.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		c.Close()
		other.Close()
	})
	return c, other.(*net.TCPConn)
}

// writeUntilError writes to a connection until that fails.
func writeUntilError(c net.Conn) error {
	b := make([]byte, 64<<10)
	for {
		if _, err := c.Write(b); err != nil {
			return err
		}
	}
}

// failures are the ways in which the other end breaks off.
var failures = []struct {
	name string
	end  func(c *net.TCPConn)
}{
	{"reset", func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}},
	{"closed with unread data", func(c *net.TCPConn) { _ = c.Close() }},
}

// TestReadAfterFailedWrite guards against a reset that looks like an orderly end to a reader, because a write was told of it before.
func TestReadAfterFailedWrite(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			c, other := connect(t)
			_, err := io.WriteString(other, "part")
			is.NoErr(err)
			_, err = c.Write(make([]byte, 1000))
			is.NoErr(err)
			f.end(other)
			is.True(errors.Is(writeUntilError(c), syscall.ECONNRESET))
			got, err := io.ReadAll(c)
			is.True(errors.Is(err, syscall.ECONNRESET))
			is.Equal(string(got), "part")
			_, err = c.Read(make([]byte, 1))
			is.True(errors.Is(err, syscall.ECONNRESET)) // each further read fails too
		})
	}
}

// TestReadBesideBlockedWrite guards against a reset that looks like an orderly end, because a write that it interrupts is told of it at
// the same time.
func TestReadBesideBlockedWrite(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			for range 100 {
				is := is.New(t)
				c, other := connect(t)
				var writing sync.WaitGroup
				writing.Go(func() { _ = writeUntilError(c) })
				_, err := other.Read(make([]byte, 1))
				is.NoErr(err)
				_, err = io.WriteString(other, "part")
				is.NoErr(err)
				f.end(other)
				got, err := io.ReadAll(c)
				is.True(err != nil)
				is.Equal(string(got), "part")
				writing.Wait()
			}
		})
	}
}

// TestReadAfterFailedRead guards against a reset that looks like an orderly end to the second of two reads.
func TestReadAfterFailedRead(t *testing.T) {
	is := is.New(t)
	c, other := connect(t)
	failures[0].end(other)
	for range 2 {
		_, err := c.Read(make([]byte, 1))
		is.True(errors.Is(err, syscall.ECONNRESET))
	}
}

// TestOrderlyEnd guards against a stream that counts as broken off although the other end had closed it before it reset the connection,
// because it takes no more data.
func TestOrderlyEnd(t *testing.T) {
	is := is.New(t)
	c, other := connect(t)
	_, err := io.WriteString(other, "whole")
	is.NoErr(err)
	is.NoErr(other.CloseWrite())
	time.Sleep(20 * time.Millisecond) // so that the end of the stream arrives first
	failures[0].end(other)
	is.True(errors.Is(writeUntilError(c), syscall.EPIPE))
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(got), "whole")
}

// TestOrderlyEndBesideBlockedWrite guards against a reader that waits for a write, which the other end may never take, at the end of the
// stream.
func TestOrderlyEndBesideBlockedWrite(t *testing.T) {
	is := is.New(t)
	c, other := connect(t)
	var writing sync.WaitGroup
	writing.Go(func() { _ = writeUntilError(c) })
	_, err := io.WriteString(other, "whole")
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond) // lets the write block
	is.NoErr(other.CloseWrite())
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Second)))
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(got), "whole")
	is.NoErr(c.Close())
	writing.Wait()
}

// TestWrite guards against bytes that a write which waits for the other end loses, repeats or counts wrongly.
func TestWrite(t *testing.T) {
	is := is.New(t)
	c, other := connect(t)
	sent := make([]byte, 20<<20)
	for i := range sent {
		sent[i] = byte(i * i >> 8)
	}
	var writing sync.WaitGroup
	var n int
	var writeErr error
	writing.Go(func() {
		n, writeErr = c.Write(sent)
		_ = c.Close()
	})
	time.Sleep(20 * time.Millisecond) // lets the write block
	got, err := io.ReadAll(other)
	is.NoErr(err)
	writing.Wait()
	is.NoErr(writeErr)
	is.Equal(n, len(sent))
	is.True(bytes.Equal(got, sent))
}

// TestWriteEnds guards against a blocked write that ignores a deadline or the end of the connection, and against one after which an
// orderly end of the stream counts as a failure.
func TestWriteEnds(t *testing.T) {
	is := is.New(t)
	c, other := connect(t)
	is.NoErr(c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)))
	is.True(errors.Is(writeUntilError(c), os.ErrDeadlineExceeded))
	is.NoErr(other.CloseWrite())
	_, err := c.Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF))
	is.NoErr(c.SetWriteDeadline(time.Time{}))
	time.AfterFunc(50*time.Millisecond, func() { _ = c.Close() })
	is.True(errors.Is(writeUntilError(c), net.ErrClosed))
}

// TestOtherConn guards against a connection without a socket that is refused or changed.
func TestOtherConn(t *testing.T) {
	c, other := net.Pipe()
	defer c.Close()
	defer other.Close()
	is.New(t).Equal(reset.NewConn(c), c)
}
