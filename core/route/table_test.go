package route_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/route"
)

// TestFind guards against calls that go to a different service than configured.
func TestFind(t *testing.T) {
	table := route.New(&core.RoutingConfig{Routes: []core.Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "A.example", Prefix: "/x/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/z/"},
		{Name: "b", Host: "b.example", Prefix: "/x/"},
	}})
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "x"},
		{"a.example:8080", "/x/y/1", "x"},
		{"a.EXAMPLE", "/x/y/z/", "deep"},
		{"a.example", "/x/y/z/w/v", "deep"},
		{"a.example", "/xy/1", "root"},
		{"a.example", "/x", "root"},
		{"b.example", "/x/1", "b"},
		{"b.example", "/y/1", ""},
		{"c.example", "/x/1", ""},
		{"a.example", "", ""},
		{"a.example", "*", ""},
	} {
		t.Run(tt.host+tt.path, func(t *testing.T) {
			got := ""
			if r := table.Find(tt.host, tt.path); r != nil {
				got = r.Name
			}
			is.New(t).Equal(got, tt.want)
		})
	}
}

// TestTeams guards against unknown keys that are accepted, and against a route's rank that overrides the team's.
func TestTeams(t *testing.T) {
	is := is.New(t)
	urgent := 0
	cfg := &core.RoutingConfig{Teams: []core.Team{{Name: "n", Keys: []string{"k1"}, Rank: &urgent}, {Name: "m", Keys: []string{"k2"}}}}
	table := route.New(cfg)
	is.Equal(table.Team("k1").Name, core.TeamName("n"))
	is.True(table.Team("k3") == nil)
	r := &core.Route{Rank: 2}
	is.Equal(route.Rank(r, table.Team("k1")), 0)
	is.Equal(route.Rank(r, table.Team("k2")), 2)
	is.True(table.NeedsKey(r))
	is.True(!table.NeedsKey(&core.Route{Anonymous: true}))
	is.True(!route.New(&core.RoutingConfig{}).NeedsKey(r))
}

// TestPickService guards against a traffic split that differs from the configured weights.
func TestPickService(t *testing.T) {
	is := is.New(t)
	r := &core.Route{Targets: []core.RouteTarget{{Service: "a", Weight: 90}, {Service: "off"}, {Service: "b", Weight: 10}}}
	is.Equal(route.PickService(r, 0), core.ServiceName("a"))
	is.Equal(route.PickService(r, 0.89), core.ServiceName("a"))
	is.Equal(route.PickService(r, 0.91), core.ServiceName("b"))
	is.Equal(route.PickService(&core.Route{}, 0.5), core.ServiceName(""))
}

// BenchmarkFind shows that the cost of a lookup does not grow with the number of routes.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{10, 1000, 100_000} {
		rules := &core.RoutingConfig{}
		for i := range n {
			rules.Routes = append(rules.Routes, core.Route{Host: fmt.Sprintf("h%d.example", i%7), Prefix: fmt.Sprintf("/r%d/", i)})
		}
		table := route.New(rules)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				table.Find("h3.example", "/r3/x/y")
			}
		})
	}
}
