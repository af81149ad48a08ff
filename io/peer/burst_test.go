package peer_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/io/peer"
)

type flushRecorder struct {
	*httptest.ResponseRecorder
	// flushed holds the length of the body at each flush.
	flushed []int
}

func (r *flushRecorder) Flush() { r.flushed = append(r.flushed, r.Body.Len()) }

type fixedOwner struct{ frames []core.Frame }

func (o *fixedOwner) Serve(_ context.Context, _ *core.CallRequest, send func(*core.Frame) error) error {
	for i := range o.frames {
		if err := send(&o.frames[i]); err != nil {
			return err
		}
	}
	return nil
}

func (o *fixedOwner) Cancel(context.Context, core.RequestID) {}

type roundTripFunc func(*http.Request) (*http.Response, error)

func (t roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return t(r) }

// TestBurstOfFramesIsFlushedOnce guards against frames that are lost or delayed until others follow, and against a flush
// for each frame of a burst.
func TestBurstOfFramesIsFlushedOnce(t *testing.T) {
	is := is.New(t)
	o := &fixedOwner{frames: []core.Frame{
		{Started: &core.ResumePoint{Endpoint: "e", Generation: "g"}},
		{Event: &core.Event{Text: "a"}, More: true},
		{Event: &core.Event{Index: 1, Text: "b\n"}, More: true},
		{Event: &core.Event{Index: 2, Text: "c"}},
		{Event: &core.Event{Index: 3, Text: "d"}, More: true},
		{}, // an empty frame only flushes
		{Event: &core.Event{Done: true, Tokens: 4}},
	}}
	mux := http.NewServeMux()
	peer.New(nil, 1).Register(mux, o)
	w := &flushRecorder{ResponseRecorder: httptest.NewRecorder()}
	client := &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
		mux.ServeHTTP(w, r)
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(w.Body.String()))}, nil
	})}
	var got []string
	var more []bool
	err := peer.New(client, 1).Call(t.Context(), "owner", &core.CallRequest{}, func(f *core.Frame) error {
		if f.Event != nil {
			got = append(got, f.Event.Text)
		}
		more = append(more, f.More)
		return nil
	})
	is.NoErr(err)
	is.Equal(got, []string{"a", "b\n", "c", "d", ""})
	is.Equal(more, []bool{true, true, true, true, true, false}) // all lines arrived in one read
	lines := strings.SplitAfter(w.Body.String(), "\n")
	at := func(n int) int { return len(strings.Join(lines[:n], "")) }
	is.Equal(w.flushed, []int{0, at(1), at(4), at(5), at(6)})
}
