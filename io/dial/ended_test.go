package dial_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/io/dial"
	"snipeshed/platform"
)

// TestHasEnded guards against a killed process that counts as running because its host closes its listener a moment after its
// connections, and against a running one that counts as ended because it resets a connection.
func TestHasEnded(t *testing.T) {
	for _, tt := range []struct {
		name  string
		serve func(ln *net.TCPListener)
		ended bool
	}{
		{"refuses at once", func(ln *net.TCPListener) { _ = ln.Close() }, true},
		{"listener closes last", func(ln *net.TCPListener) {
			time.Sleep(10 * time.Millisecond)
			_ = ln.Close()
		}, true},
		{"takes connections", func(*net.TCPListener) {}, false},
		{"resets connections", func(ln *net.TCPListener) {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			done := make(chan struct{})
			go func() {
				defer close(done)
				tt.serve(ln.(*net.TCPListener))
			}()
			if tt.name == "refuses at once" {
				<-done
			}
			is.Equal(dial.New(platform.Codec{}).HasEnded(t.Context(), core.Endpoint{ID: "e", Address: ln.Addr().String()}), tt.ended)
			_ = ln.Close() // ends serve
			<-done
		})
	}
}
