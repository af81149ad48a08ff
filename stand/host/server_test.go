package host_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"snipeshed/stand/host"
)

// Guards against a Close that lets running calls complete, or leaves calls, goroutines or the port open.
func TestClose(t *testing.T) {
	is := is.New(t)
	entered := make(chan struct{})
	hang := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		host.Sleep(r.Context(), time.Hour)
	})
	h := host.New(hang)
	is.NoErr(h.Start())
	ended := make(chan error)
	client := &http.Client{Transport: &http.Transport{}}
	go func() {
		resp, err := client.Get(h.URL())
		if err == nil {
			resp.Body.Close()
		}
		ended <- err
	}()
	<-entered
	is.NoErr(h.Close())
	is.True(<-ended != nil)
	client.CloseIdleConnections()
	goleak.VerifyNone(t)

	again := host.New(hang, host.WithAddr(h.Addr()))
	is.NoErr(again.Start())
	is.NoErr(again.Close())
}
