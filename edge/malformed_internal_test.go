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

// TestMalformedPeerAnswer guards against news from another instance whose answer has a malformed head.
func TestMalformedPeerAnswer(t *testing.T) {
	body, err := proto.Marshal(&wire.News{EndpointsRevision: 9, HasEndpoints: true})
	is.New(t).NoErr(err)
	for _, head := range broken.Heads() {
		t.Run(head.Name, func(t *testing.T) {
			is := is.New(t)
			s, err := broken.Start(func(*http.Request) string { return head.Spoil(broken.Framed(http.StatusOK, string(body))) })
			is.NoErr(err)
			defer s.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err = wire.NewSyncProtobufClient("http://"+s.Address(), peerClient).Fetch(ctx, &wire.Known{})
			is.True(err != nil)
			is.Equal(s.Requests(), 1)
		})
	}
}
