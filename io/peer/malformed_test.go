package peer_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/io/link"
	"snipeshed/io/peer"
	"snipeshed/stand/broken"
)

// TestMalformedStatus guards against a forwarded call that counts as not received, and is forwarded to another instance, because the
// answer has a status that HTTP does not define.
func TestMalformedStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			s, err := broken.StartHTTP2(status, "")
			is.NoErr(err)
			defer s.Close()
			cfg := &conf.Settings{}
			conf.SetDefaults(cfg)
			client := link.New(cfg).PeerClient()
			defer client.CloseIdleConnections()
			p := peer.New(client, 1<<10)
			err = p.Call(t.Context(), s.Address(), &core.CallRequest{}, func(*core.Frame) error { return nil })
			is.True(errors.Is(err, peer.ErrLost))
			is.True(p.Cancel(t.Context(), s.Address(), "r") != nil)
			is.Equal(s.Requests(), 2)
		})
	}
}
