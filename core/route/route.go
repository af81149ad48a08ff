package route

import (
	"net"
	"strings"

	"snipeshed/core"
)

// Table is an immutable index of one version of the rules.
type Table struct {
	*core.Rules
	hosts map[string]map[string]*core.Route
	teams map[string]*core.Team
}

// New indexes rules.
func New(rules *core.Rules) *Table {
	t := &Table{Rules: rules, hosts: map[string]map[string]*core.Route{}, teams: map[string]*core.Team{}}
	for i := range rules.Routes {
		r := &rules.Routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*core.Route{}
		}
		t.hosts[host][r.Prefix] = r
	}
	for i := range rules.Teams {
		team := &rules.Teams[i]
		for _, key := range team.Keys {
			t.teams[key] = team
		}
	}
	return t
}

// Find returns the route with the longest prefix that begins the path, or nil.
//
// Prefixes end with a slash, so the cost depends on the depth of the path and not on the number of routes.
func (t *Table) Find(host, path string) *core.Route {
	prefixes := t.hosts[hostName(host)]
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

// hostName drops the port and the case of a host.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Team returns the team that holds a key, or nil.
func (t *Table) Team(key string) *core.Team { return t.teams[key] }

// NeedsKey reports whether calls of a route need a team's key.
func (t *Table) NeedsKey(r *core.Route) bool { return len(t.Teams) > 0 && !r.Anonymous }

// Rank returns the rank of a call: the team's where it has one, else the route's.
func Rank(r *core.Route, team *core.Team) int {
	if team != nil && team.Rank != nil {
		return *team.Rank
	}
	return r.Rank
}

// Pick returns the service for a draw from 0 up to 1, by the weights of the route's targets.
func Pick(r *core.Route, draw float64) core.ServiceName {
	total := 0
	for _, target := range r.Targets {
		total += max(target.Weight, 0)
	}
	left := draw * float64(total)
	for _, target := range r.Targets {
		left -= float64(max(target.Weight, 0))
		if left < 0 {
			return target.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[0].Service
}
