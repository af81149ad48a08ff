package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/core"
)

// flushRecorder counts flushes.
type flushRecorder struct {
	*httptest.ResponseRecorder
	flushes int
}

func (r *flushRecorder) Flush() { r.flushes++ }

// TestBurstOfTokensIsFlushedOnce guards against tokens that stay buffered although no others follow, and against a flush
// for each token of a burst.
func TestBurstOfTokensIsFlushedOnce(t *testing.T) {
	tok := func(i core.Tokens, more bool) core.Frame {
		return core.Frame{Event: &core.Event{Index: i, Text: "t"}, More: more}
	}
	for _, tt := range []struct {
		name   string
		frames []core.Frame
		// flushes is the expected total number of flushes after each frame.
		flushes []int
	}{
		{"single tokens", []core.Frame{tok(0, false), tok(1, false)}, []int{1, 2}},
		{"a burst", []core.Frame{tok(0, true), tok(1, true), tok(2, false)}, []int{0, 0, 1}},
		{"a duplicate at the end of a burst", []core.Frame{tok(0, true), tok(0, false)}, []int{0, 1}},
		{"a preemption at the end of a burst", []core.Frame{tok(0, true), {Event: &core.Event{Preempted: true}}}, []int{0, 1}},
		{"a load at the end of a burst", []core.Frame{tok(0, true), {Load: &core.PoolLoad{}}}, []int{0, 1}},
		{"an empty frame at the end of a burst", []core.Frame{tok(0, true), {}}, []int{0, 1}},
		{"an empty frame without a burst", []core.Frame{tok(0, false), {}}, []int{1, 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := startEntry(t, nil)
			w := &flushRecorder{ResponseRecorder: httptest.NewRecorder()}
			var got []int
			e.owner.serve = func(_ context.Context, _ *core.CallRequest, send func(*core.Frame) error) error {
				is.NoErr(sendStarted(send, "g"))
				for i := range tt.frames {
					is.NoErr(send(&tt.frames[i]))
					got = append(got, w.flushes)
				}
				return &core.Error{Kind: core.KindStreamBroken, Execution: core.Executed}
			}
			r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(fmt.Sprintf(chatBody, true)))
			r.Header.Set("Authorization", "Bearer "+key)
			e.entry.ServeHTTP(w, r)
			is.Equal(got, tt.flushes)
		})
	}
}
