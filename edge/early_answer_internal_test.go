package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"snipeshed/stand/broken"
	"snipeshed/wire"
)

// TestBrokenPeerAnswer guards against news from another instance that were broken off, of which a part is a message too.
func TestBrokenPeerAnswer(t *testing.T) {
	is := is.New(t)
	body, err := proto.Marshal(&wire.News{EndpointsRevision: 9, HasEndpoints: true})
	is.NoErr(err)
	for _, ending := range broken.BreakOffs() {
		if ending.NeedsUpload {
			continue // the request fits into what the other instance reads with its head
		}
		for n := range body {
			s, err := broken.StartEarly(ending, func(*http.Request) string { return broken.Unframed(http.StatusOK, string(body[:n])) })
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err = wire.NewSyncProtobufClient("http://"+s.Address(), peerClient).Fetch(ctx, &wire.Known{Rules: 1, Endpoints: 8, Members: 700})
			cancel()
			is.True(err != nil)
			is.Equal(s.Requests(), 1)
			s.Close()
		}
	}
}
