package vet

import (
	"strings"

	"snipeshed/core"
)

const percent = 100

// compareCalls reports which calls go elsewhere. The route of a call can differ only if that of a prefix in either configuration does, so
// it is enough to find the routes of all prefixes.
func (c *Checker) compareCalls(r *report, old *index) {
	seen := map[[2]string]bool{}
	for _, x := range []*index{old, c.index} {
		for i := range x.Routes {
			d := x.drafts[&x.Routes[i]]
			id := [2]string{strings.ToLower(d.Host), d.Prefix}
			if x.matches(d) && !seen[id] {
				seen[id] = true
				c.comparePrefix(r, old, d)
			}
		}
	}
}

// comparePrefix compares what happens to calls whose path begins with the prefix of a route.
func (c *Checker) comparePrefix(r *report, old *index, at *core.RouteDraft) {
	before, after := old.find(at.Host, at.Prefix), c.index.find(at.Host, at.Prefix)
	if before == nil {
		return
	}
	path := before.Source.Path
	if after != nil {
		path = after.Source.Path
	}
	if after == nil {
		r.warnf(path, "calls to %s%s have no route any more; the route in force is %q", at.Host, at.Prefix, before.Name)
	} else if c.index.NeedsKey(&after.Route) && !old.NeedsKey(&before.Route) {
		r.warnf(path, "calls to %s%s need a key, and need none in force", at.Host, at.Prefix)
	}
	compared := map[core.ServiceName]bool{}
	for _, t := range before.Targets {
		was, is := share(before, t.Service), share(after, t.Service)
		if is < was && !compared[t.Service] {
			r.warnf(path, "service %q gets %.4g%% instead of %.4g%% of the calls to %s%s", t.Service, is*percent, was*percent, at.Host, at.Prefix)
		}
		compared[t.Service] = true
	}
}
