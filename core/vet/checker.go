package vet

import (
	"snipeshed/core"
	"snipeshed/core/route"
)

// Checker checks one draft of a routing configuration.
type Checker struct {
	draft      *core.ConfigDraft
	bodyMemory int64 // 0 means unknown
	index      *index
}

// Option is an option of New.
type Option func(*Checker)

// WithBodyMemory sets the number of bytes that request bodies may take at an instance.
func WithBodyMemory(n int64) Option { return func(c *Checker) { c.bodyMemory = n } }

// New returns a Checker of a draft.
func New(draft *core.ConfigDraft, opts ...Option) *Checker {
	c := &Checker{draft: draft, index: newIndex(draft)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Check returns what is wrong with the draft by itself.
func (c *Checker) Check() []core.Finding {
	r := &report{}
	c.checkNames(r)
	c.checkKeys(r)
	c.checkTargets(r)
	c.checkMatches(r)
	c.checkUse(r)
	c.checkRoutes(r)
	c.checkServices(r)
	c.checkLimits(r)
	return r.findings
}

// index finds routes of a draft in the same way as an instance that has the draft in force.
type index struct {
	*route.Table
	drafts map[*core.Route]*core.RouteDraft
}

func newIndex(d *core.ConfigDraft) *index {
	cfg := &core.RoutingConfig{Version: d.Version, Services: map[core.ServiceName]core.Service{}, Limits: d.Limits.CallerLimits}
	for _, r := range d.Routes {
		cfg.Routes = append(cfg.Routes, r.Route)
	}
	for _, s := range d.Services {
		cfg.Services[s.Name] = s.Service
	}
	for _, t := range d.Teams {
		cfg.Teams = append(cfg.Teams, t.Team)
	}
	x := &index{Table: route.New(cfg), drafts: map[*core.Route]*core.RouteDraft{}}
	for i := range cfg.Routes {
		x.drafts[&cfg.Routes[i]] = &d.Routes[i]
	}
	return x
}

// find returns the route of requests whose path is exactly a prefix, or nil.
func (x *index) find(host, prefix string) *core.RouteDraft { return x.drafts[x.Find(host, prefix)] }

// matches reports whether any request can have the route.
func (x *index) matches(r *core.RouteDraft) bool {
	return describeHost(r.Host) == "" && describePrefix(r.Prefix) == "" && x.find(r.Host, r.Prefix) == r
}
