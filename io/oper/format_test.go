package oper_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/io/oper"
	"snipeshed/wire"
)

// digestFleet maps the ids of the other live instances to their digests; an instance with a nil digest does not answer.
type digestFleet map[string]*wire.Digest

func (f digestFleet) Instances() []*wire.Instance {
	list := []*wire.Instance{{Id: "self", State: "live"}}
	for id := range f {
		list = append(list, &wire.Instance{Id: id, State: "live"})
	}
	return list
}

func (f digestFleet) Digest(_ context.Context, in *wire.Instance) (*wire.Digest, error) {
	if d := f[in.GetId()]; d != nil {
		return d, nil
	}
	return nil, errors.New("no answer")
}

// Guards against accepting a ticket that some live instance cannot apply, and against refusing tickets of an older format
// during an upgrade.
func TestApplyNewerFormat(t *testing.T) {
	newer, old := &wire.Digest{Format: 1}, &wire.Digest{}
	for name, c := range map[string]struct {
		fleet           digestFleet
		supportedFormat uint32
		format          uint32
		parts           []string // of the refusal; nil means accepted
	}{
		"all are newer":            {digestFleet{"a": newer, "b": newer}, 1, 1, nil},
		"ticket needs nothing new": {digestFleet{"a": old, "b": nil}, 1, 0, nil},
		"one is older":             {digestFleet{"a": newer, "b": old}, 1, 1, []string{"format 1", "b (up to 0)"}},
		"one does not answer":      {digestFleet{"a": newer, "b": nil}, 1, 1, []string{"b, which did not answer"}},
		"the older one leaves":     {digestFleet{"a": newer, "b": {Leaving: true}}, 1, 1, nil},
		"the asked one is older":   {digestFleet{"a": newer}, 0, 1, []string{"self (up to 0)"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, st := is.New(t), newFaultyStore()
				s := state.New(state.WithFormat(c.supportedFormat))
				o := oper.New(shared(), &conf.Settings{Instance: "self"}, st, s, oper.WithFleet(c.fleet))
				sent := ticket("a", 0, rank("urgent", 1))
				sent.Format = c.format
				got, err := o.Apply(t.Context(), sent)
				if c.parts == nil {
					is.NoErr(err)
					is.Equal(got.GetFormat(), c.format)
					again, err := o.Apply(t.Context(), ticket("a", 0, rank("urgent", 1)))
					is.NoErr(err) // the format is not part of the operator's ticket
					is.Equal(again.GetNumber(), got.GetNumber())
					return
				}
				checkRefusal(t, err, step{kind: core.KindOldVersion, run: core.NotExecuted, parts: c.parts})
				is.Equal(strings.Join(st.ticketIDs(t), " "), "")
			})
		})
	}
}

// Guards against an older instance being reported as a wrong address by a newer command.
func TestMethodOfANewerVersion(t *testing.T) {
	for name, c := range map[string]struct {
		path string
		kind core.ErrorKind
	}{
		"unknown method":        {wire.OperatorPathPrefix + "Rename", core.KindOldVersion},
		"not an operators' API": {"/other", core.KindNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			o, _ := start(newFaultyStore())
			mux := http.NewServeMux()
			mux.Handle(wire.OperatorPathPrefix, o.Handler())
			srv := httptest.NewServer(mux)
			defer srv.Close()
			// The client calls Status; the server sees another path.
			client := &http.Client{Transport: pathTransport{c.path}}
			defer client.CloseIdleConnections()
			_, err := wire.NewOperatorProtobufClient(srv.URL, client).Status(t.Context(), &wire.StatusRequest{})
			checkRefusal(t, oper.ErrorFrom(err), step{kind: c.kind, run: core.NotExecuted})
		})
	}
}

// pathTransport sends each request to another path.
type pathTransport struct{ path string }

func (p pathTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.URL.Path, r.Close = p.path, true
	return http.DefaultTransport.RoundTrip(r)
}

// Guards against dropping the fields of a ticket that this version does not know, and against appending to a log that
// this version cannot read.
func TestUnknownParts(t *testing.T) {
	is, st := is.New(t), newFaultyStore()
	o, _ := start(st)
	sent := ticket("a", 0, rank("urgent", 1))
	sent.GetItems()[0].GetRank().ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 1000, protowire.VarintType), 7))
	_, err := o.Apply(t.Context(), sent)
	checkRefusal(t, err, step{kind: core.KindOldVersion, run: core.NotExecuted, parts: []string{"does not know"}})

	newer := oper.New(shared(), &conf.Settings{Instance: "newer"}, st, state.New(state.WithFormat(1)))
	accepted := ticket("b", 0, rank("urgent", 1))
	accepted.Format = 1
	_, err = newer.Apply(t.Context(), accepted)
	is.NoErr(err)
	_, err = o.Apply(t.Context(), ticket("c", 0, rank("batch", 1)))
	checkRefusal(t, err, step{kind: core.KindStaleState, run: core.NotExecuted, parts: []string{"newer version"}})
	is.Equal(st.ticketIDs(t), []string{"b"})
}
