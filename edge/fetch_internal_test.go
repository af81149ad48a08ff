package edge

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/twitchtv/twirp"

	"snipeshed/wire"
)

// TestFullFetchesBounded guards against a start of a large fleet in which hundreds of instances ask the first one for its whole list of
// endpoints, so that it serves none of them in time.
func TestFullFetchesBounded(t *testing.T) {
	is := is.New(t)
	e := &Edge{}
	e.fullFetches.Store(maxFullFetches)
	_, err := syncServer{e}.Fetch(t.Context(), &wire.Known{})
	var refusal twirp.Error
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Code(), twirp.ResourceExhausted)
	is.Equal(e.fullFetches.Load(), int32(maxFullFetches))
}
