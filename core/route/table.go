package route

import (
	"net"
	"strings"

	"snipeshed/core"
)

// Table is an immutable index of one version of the routing configuration.
type Table struct {
	*core.RoutingConfig
	routesByHost map[string]map[string]*core.Route
	teamsByKey   map[string]*core.Team
}

// New returns the index of a routing configuration.
func New(cfg *core.RoutingConfig) *Table {
	t := &Table{RoutingConfig: cfg, routesByHost: map[string]map[string]*core.Route{}, teamsByKey: map[string]*core.Team{}}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		host := strings.ToLower(r.Host)
		if t.routesByHost[host] == nil {
			t.routesByHost[host] = map[string]*core.Route{}
		}
		t.routesByHost[host][r.Prefix] = r
	}
	for i := range cfg.Teams {
		team := &cfg.Teams[i]
		for _, key := range team.Keys {
			t.teamsByKey[key] = team
		}
	}
	return t
}

// Find returns the route with the longest prefix of the path, or nil.
//
// Prefixes end with a slash, so the cost of a lookup depends on the depth of the path and not on the number of routes.
func (t *Table) Find(host, path string) *core.Route {
	prefixes := t.routesByHost[normalizeHost(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// normalizeHost removes the port and converts the host to lower case.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Team returns the team to which an API key belongs, or nil.
func (t *Table) Team(key string) *core.Team { return t.teamsByKey[key] }

// NeedsKey reports whether calls of a route must send a team's API key.
func (t *Table) NeedsKey(r *core.Route) bool { return len(t.Teams) > 0 && !r.Anonymous }

// Rank returns the rank of a call: the team's if it is set, else the route's.
func Rank(r *core.Route, team *core.Team) int {
	if team != nil && team.Rank != nil {
		return *team.Rank
	}
	return r.Rank
}

// PickService selects a service by the weights of the route's targets; draw is a random number in [0, 1).
func PickService(r *core.Route, draw float64) core.ServiceName {
	total := 0
	for _, target := range r.Targets {
		total += max(target.Weight, 0)
	}
	remaining := draw * float64(total)
	for _, target := range r.Targets {
		remaining -= float64(max(target.Weight, 0))
		if remaining < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}
