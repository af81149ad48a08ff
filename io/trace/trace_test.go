package trace_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/io/event"
	"snipeshed/io/trace"
)

const logs = `noise
time="10:00:02.000" level=info msg=cut endpoint=e1 error="unexpected EOF" events=7 instance=edge-1 request=r1
  12.5 edge-1 time="10:00:00.000" level=info msg=routed endpoint=e1 backup= instance=edge-1 request=r1
time="10:00:01.000" level=info msg=endpoint_leaving endpoint=e1 instance=edge-1
time="10:00:01.000" level=info msg=endpoint_leaving endpoint=e9 instance=edge-1
time="10:00:01.000" level=info msg=endpoint_leaving endpoint=e1 instance=edge-2
time="10:00:01.500" level=warning msg=lines_dropped instance=edge-1 lines=4 of=answered
time="10:00:01.500" level=info msg=answered instance=edge-1 request=r2
`

// TestRead guards against missing lines of a request, and against lines of unrelated requests, endpoints or instances.
func TestRead(t *testing.T) {
	is := is.New(t)
	got, err := trace.Read(strings.NewReader(logs), "r1")
	is.NoErr(err)
	is.Equal(len(got.Lines), 2)
	is.Equal(got.Lines[0].Event, event.Routed)
	is.Equal(got.Lines[1].Fields["error"], "unexpected EOF")
	is.Equal(len(got.Context), 1)
	is.Equal(len(got.Dropped), 1)
	var out strings.Builder
	is.NoErr(got.Write(&out))
	is.True(strings.Contains(out.String(), "lines are missing"))
	is.True(strings.Index(out.String(), "routed") < strings.Index(out.String(), "cut"))
}

// TestUnknown guards against empty output for an unknown id.
func TestUnknown(t *testing.T) {
	is := is.New(t)
	got, err := trace.Read(strings.NewReader(logs), "r3")
	is.NoErr(err)
	var out strings.Builder
	is.NoErr(got.Write(&out))
	is.True(strings.Contains(out.String(), "check the id"))
}
