package link_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/stand/link"
)

// silence is how long a test waits for bytes that must not arrive; kernel sockets do not run in virtual time.
const silence = 50 * time.Millisecond

// echo starts a TCP echo server that runs until the test ends, counts its connections and returns its address.
func echo(t *testing.T, accepted *atomic.Int64) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c) // ends with the connection
			}()
		}
	}()
	return ln.Addr().String()
}

type caller struct {
	*is.I
	*link.Link
	accepted atomic.Int64
}

func (c *caller) dial() net.Conn {
	conn, err := net.Dial("tcp", c.Addr())
	c.NoErr(err)
	return conn
}

// ping sends a byte and returns the error of reading it back within d.
func (c *caller) ping(conn net.Conn, d time.Duration) error {
	_, err := conn.Write([]byte("x"))
	c.NoErr(err)
	return c.await(conn, d)
}

func (c *caller) await(conn net.Conn, d time.Duration) error {
	c.NoErr(conn.SetReadDeadline(time.Now().Add(d)))
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestLink(t *testing.T) {
	for _, tc := range []struct {
		name, guards string
		run          func(c *caller)
	}{
		{"forward", "bytes lost between the last write and the close", func(c *caller) {
			conn := c.dial()
			want := bytes.Repeat([]byte("swap"), 1<<20)
			go func() {
				_, _ = conn.Write(want) // a failure shows in the bytes that are read
				_ = conn.(*net.TCPConn).CloseWrite()
			}()
			got, err := io.ReadAll(conn)
			c.NoErr(err)
			c.True(bytes.Equal(got, want))
		}},
		{"stall", "a stalled connection that closes, or that also stalls new ones", func(c *caller) {
			conn := c.dial()
			c.NoErr(c.ping(conn, time.Second))
			c.Stall()
			c.True(errors.Is(c.ping(conn, silence), os.ErrDeadlineExceeded))
			c.NoErr(c.ping(c.dial(), time.Second))
			c.NoErr(c.Restore())
			c.NoErr(c.await(conn, time.Second))
		}},
		{"hold answers", "a one-way stall that also stops bytes from clients", func(c *caller) {
			conn := c.dial()
			c.NoErr(c.ping(conn, time.Second))
			c.HoldAnswers()
			c.True(errors.Is(c.ping(conn, silence), os.ErrDeadlineExceeded))
			c.NoErr(c.ping(c.dial(), time.Second))
			c.NoErr(c.Restore())
			c.NoErr(c.await(conn, time.Second))
		}},
		{"partition", "new connections that work during a partition", func(c *caller) {
			c.Partition()
			conn := c.dial()
			c.True(errors.Is(c.ping(conn, silence), os.ErrDeadlineExceeded))
			c.NoErr(c.Restore())
			c.NoErr(c.await(conn, time.Second))
		}},
		{"partition from one address", "a partition that stalls other sources, or forwards bytes of a client that disconnected", func(c *caller) {
			open := c.dial()
			c.NoErr(c.ping(open, time.Second))
			c.Partition("127.0.0.9")
			c.NoErr(c.ping(open, time.Second))
			c.NoErr(c.ping(c.dial(), time.Second))
			c.Partition("127.0.0.1")
			c.True(errors.Is(c.ping(open, silence), os.ErrDeadlineExceeded))
			gone := c.dial()
			c.True(errors.Is(c.ping(gone, silence), os.ErrDeadlineExceeded))
			before := c.accepted.Load()
			c.NoErr(gone.Close())
			c.NoErr(c.Restore())
			c.NoErr(c.await(open, time.Second))
			c.NoErr(c.ping(c.dial(), time.Second))
			c.Equal(c.accepted.Load(), before+1) // the last one only
		}},
		{"cut", "a reset that leaves the listener closed", func(c *caller) {
			conn := c.dial()
			c.NoErr(c.ping(conn, time.Second))
			c.ResetConnections()
			err := c.await(conn, time.Second)
			c.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
			c.NoErr(c.ping(c.dial(), time.Second))
		}},
		{"refuse", "an address that changes over a restart", func(c *caller) {
			c.RefuseConnections()
			_, err := net.Dial("tcp", c.Addr())
			c.True(err != nil)
			c.NoErr(c.Restore())
			c.NoErr(c.ping(c.dial(), time.Second))
		}},
		{"delay", "bytes that arrive early", func(c *caller) {
			conn := c.dial()
			c.NoErr(c.ping(conn, time.Second))
			c.SetDelay(silence)
			start := time.Now()
			c.NoErr(c.ping(conn, 10*time.Second))
			c.True(time.Since(start) >= 2*silence)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Log("guards against " + tc.guards)
			c := &caller{I: is.New(t)}
			c.Link = link.New(echo(t, &c.accepted))
			c.NoErr(c.Start())
			defer c.Close()
			tc.run(c)
		})
	}
}
