package action

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/wire"
)

// replaceableConfig is a configuration source whose configuration a test can replace.
type replaceableConfig struct{ staticConfig }

func endpoints(service string, ids ...string) map[core.EndpointID]*wire.Endpoint {
	out := map[core.EndpointID]*wire.Endpoint{}
	for _, id := range ids {
		out[core.EndpointID(id)] = &wire.Endpoint{Name: id, Address: "address-of-" + id, Service: service}
	}
	return out
}

// Guards against calls to endpoints that belong to an older configuration or to another service, are not usable or were
// already tried, and against an order of endpoints that differs between instances.
func TestCandidates(t *testing.T) {
	source := &replaceableConfig{}
	a := New(quietShared(), nil, source, WithEndpointUsable(func(_ core.EndpointID, address string) bool {
		return address != "address-of-unusable"
	}))
	swaps := endpoints("swaps", "d", "b", "unusable", "a", "c")
	for id, e := range endpoints("", "runner") {
		swaps[id] = e
	}
	for _, tt := range []struct {
		name      string
		endpoints map[core.EndpointID]*wire.Endpoint
		service   core.ServiceName
		tried     map[core.EndpointID]bool
		want      string
	}{
		{"in the order of ids", swaps, "swaps", nil, "a b c d"},
		{"without those tried", swaps, "swaps", map[core.EndpointID]bool{"a": true, "c": true}, "b d"},
		{"all tried", endpoints("swaps", "a"), "swaps", map[core.EndpointID]bool{"a": true}, ""},
		{"unknown service", swaps, "other", nil, ""},
		{"the next configuration", endpoints("swaps", "c", "e"), "swaps", nil, "c e"},
		{"moved to another service", endpoints("other", "c", "e"), "swaps", nil, ""},
		{"its new service", endpoints("other", "c", "e"), "other", nil, "c e"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			source.cfg = &core.Config{Endpoints: tt.endpoints}
			var got []string
			for range 2 { // the second time uses the index
				got = nil
				for _, e := range a.candidates(tt.service, tt.tried) {
					got = append(got, string(e.id))
					is.New(t).Equal(e.address, "address-of-"+string(e.id))
				}
			}
			is.New(t).Equal(strings.Join(got, " "), tt.want)
		})
	}
}

// BenchmarkCandidates chooses among 6 application runners beside 2,794 model runners, the target size.
func BenchmarkCandidates(b *testing.B) {
	cfg := &core.Config{Endpoints: map[core.EndpointID]*wire.Endpoint{}}
	for i := range 2800 {
		service := ""
		if i%467 == 0 {
			service = "swaps"
		}
		id := fmt.Sprintf("endpoint-%04d", i)
		cfg.Endpoints[core.EndpointID(id)] = &wire.Endpoint{Name: id, Address: "10.0.0.1:1", Service: service}
	}
	a := New(quietShared(), nil, staticConfig{cfg: cfg})
	for b.Loop() {
		if len(a.candidates("swaps", nil)) != 6 {
			b.Fatal("wrong number of candidates")
		}
	}
}
