package line_test

import (
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"snipeshed/core"
	"snipeshed/io/line"
)

// TestDecodeMatchesJSON guards against a line that is decoded differently than by encoding/json.
func TestDecodeMatchesJSON(t *testing.T) {
	lines := []string{
		`{"i":0,"t":"a"}`, `{"i":12,"t":"two words "}`, `{"i":3,"t":""}`, `{"i":4}`, `{"t":"x","i":5}`, `{ "i":6,"t":"x"}`,
		`{"i":7,"t":"x","preempted":true}`, `{"i":8,"t":"a\"b"}`, `{"i":9,"t":"\u00fc"}`, `{"i":10,"t":"ü漢"}`, "{\"i\":11,\"t\":\"\xff\"}",
		`{"i":01,"t":"x"}`, `{"i":-1,"t":"x"}`, `{"i":1.0,"t":"x"}`, `{"i":1e2,"t":"x"}`, `{"i":99999999999999999999,"t":"x"}`, `{"i":,"t":"x"}`,
		"{\"i\":1,\"t\":\"a\tb\"}", `{"i":1,"t":"x"}}`, `{"i":1,"t":"x"`, `{"i":1,"t":"x","t":"y"}`, `{"i":1,"t":"x\"}`, `{"preempted":true}`,
		`{"done":true,"finish_reason":"stop","tokens":3}`, `{"generation_id":"g","cached_tokens":4}`, `null`, `{}`, ``,
	}
	for _, l := range lines {
		t.Run(l, func(t *testing.T) {
			is := is.New(t)
			var got, want core.Event
			gotErr, wantErr := line.DecodeEvent([]byte(l+"\n"), &got), json.Unmarshal([]byte(l), &want)
			is.Equal(gotErr == nil, wantErr == nil)
			is.Equal(got, want)
			var f, wantFrame core.Frame
			framed := `{"event":` + l + "}"
			gotErr, wantErr = line.DecodeFrame([]byte(framed+"\n"), &f, &got), json.Unmarshal([]byte(framed), &wantFrame)
			is.Equal(gotErr == nil, wantErr == nil)
			is.True(reflect.DeepEqual(f, wantFrame))
		})
	}
}

// TestFrameIsReadAsJSON guards against frames that an instance of another version, which decodes them with encoding/json,
// reads differently.
func TestFrameIsReadAsJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ev := core.Event{
			Index: core.Tokens(rapid.Int64().Draw(t, "index")), Text: rapid.String().Draw(t, "text"),
			Preempted: rapid.Bool().Draw(t, "preempted"),
		}
		f := core.Frame{Event: &ev, PreviouslyQueued: rapid.Bool().Draw(t, "admitted")}
		b, err := line.AppendFrame([]byte("before"), &f)
		if err != nil {
			t.Fatal(err)
		}
		l, ok := strings.CutPrefix(string(b), "before")
		if !ok || strings.Index(l, "\n") != len(l)-1 {
			t.Fatalf("not one line: %q", b)
		}
		var asJSON, asLine core.Frame
		if err := json.Unmarshal([]byte(l), &asJSON); err != nil || !reflect.DeepEqual(asJSON, f) {
			t.Fatalf("JSON of %+v is read as %+v: %v", f, asJSON, err)
		}
		if err := line.DecodeFrame([]byte(l), &asLine, new(core.Event)); err != nil || !reflect.DeepEqual(asLine, f) {
			t.Fatalf("%+v is read as %+v: %v", f, asLine, err)
		}
	})
}

// TestAllocationsPerToken guards against allocations for a token other than its text.
func TestAllocationsPerToken(t *testing.T) {
	is := is.New(t)
	var ev core.Event
	in := []byte(`{"i":17,"t":"some text "}` + "\n")
	is.Equal(testing.AllocsPerRun(100, func() { _ = line.DecodeEvent(in, &ev) }), 1.0)
	f := core.Frame{Event: &ev}
	buf := make([]byte, 0, 128)
	is.Equal(testing.AllocsPerRun(100, func() { buf, _ = line.AppendFrame(buf[:0], &f) }), 0.0)
	var got core.Frame
	is.Equal(testing.AllocsPerRun(100, func() { _ = line.DecodeFrame(buf, &got, &ev) }), 1.0)
}

// TestReaderSplitsLines guards against lines that are lost, cut or joined, whatever the size of the reads, and against a
// HasLine that is true although Next would have to read from the stream.
func TestReaderSplitsLines(t *testing.T) {
	long := strings.Repeat("x", 5000) + "\n"
	for _, tt := range []struct {
		name, in string
		want     []string
		err      error
	}{
		{"short lines", "a\nbc\n", []string{"a\n", "bc\n"}, io.EOF},
		{"empty lines", "\na\n\n\nb\n\n", []string{"a\n", "b\n"}, io.EOF},
		{"longer than the buffer", "a\n" + long + "b\n", []string{"a\n", long, "b\n"}, io.EOF},
		{"cut line", "a\nb", []string{"a\n"}, io.ErrUnexpectedEOF},
		{"cut at a full buffer", "a\n" + long[:4096], []string{"a\n"}, io.ErrUnexpectedEOF},
	} {
		for _, in := range []io.Reader{strings.NewReader(tt.in), iotest.OneByteReader(strings.NewReader(tt.in))} {
			t.Run(tt.name, func(t *testing.T) {
				is := is.New(t)
				r := line.NewReader(in)
				var got []string
				b, err := r.Next()
				for ; err == nil; b, err = r.Next() {
					got = append(got, string(b))
				}
				is.True(errors.Is(err, tt.err))
				is.Equal(got, tt.want)
			})
		}
	}
	is := is.New(t)
	r := line.NewReader(io.MultiReader(strings.NewReader("a\nb\nc"), iotest.ErrReader(io.ErrNoProgress)))
	is.True(!r.HasLine())
	for _, ready := range []bool{true, false} {
		_, err := r.Next()
		is.NoErr(err)
		is.Equal(r.HasLine(), ready)
	}
}
