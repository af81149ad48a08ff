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
			s, err := broken.StartHTTP2(status, "")
			is.New(t).NoErr(err)
			t.Cleanup(s.Close)
			checkCallLost(t, s)
		})
	}
}

const doneFrame = `{"event":{"done":true}}` + "\n"

// TestMalformedName guards against frames of an answer in whose head the name of a field is no token.
func TestMalformedName(t *testing.T) {
	for _, name := range []string{"x broken", "x-broken ", " x-broken", "x\x00broken", "x\x01broken", "x-broken\x7f", "x\rbroken"} {
		t.Run(name, func(t *testing.T) {
			s, err := broken.StartHTTP2Field(name, doneFrame)
			is.New(t).NoErr(err)
			t.Cleanup(s.Close)
			checkCallLost(t, s)
		})
	}
}

// TestSoundName guards against frames that are lost because of a field that the tests above malform.
func TestSoundName(t *testing.T) {
	is := is.New(t)
	s, err := broken.StartHTTP2Field("x-broken", doneFrame)
	is.NoErr(err)
	t.Cleanup(s.Close)
	frames := 0
	is.NoErr(newPeer(t).Call(t.Context(), s.Address(), &core.CallRequest{}, func(*core.Frame) error {
		frames++
		return nil
	}))
	is.Equal(frames, 1)
}

// newPeer returns a client of other instances.
func newPeer(t *testing.T) *peer.Peer {
	t.Helper()
	cfg := &conf.Settings{}
	conf.SetDefaults(cfg)
	client := link.New(cfg).PeerClient()
	t.Cleanup(client.CloseIdleConnections)
	return peer.New(client, 1<<10)
}

// checkCallLost checks that a call that is forwarded to a server counts as lost, and that its cancellation fails.
func checkCallLost(t *testing.T, s *broken.Server) {
	t.Helper()
	is := is.New(t)
	p := newPeer(t)
	err := p.Call(t.Context(), s.Address(), &core.CallRequest{}, func(*core.Frame) error {
		t.Error("a frame was passed on")
		return nil
	})
	is.True(errors.Is(err, peer.ErrLost))
	is.True(p.Cancel(t.Context(), s.Address(), "r") != nil)
	is.Equal(s.Requests(), 2)
}
