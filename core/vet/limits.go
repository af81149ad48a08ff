package vet

import "snipeshed/core"

// checkRoutes reports limits of routes that contradict each other.
func (c *Checker) checkRoutes(r *report) {
	for i := range c.draft.Routes {
		d := &c.draft.Routes[i]
		if timeout := d.CallTimeout(); d.Objective > timeout {
			r.warnf(d.Source.Path, "latency objective %v of route %q is above its timeout of %v", d.Objective, d.Name, timeout)
		}
		if d.MaxAttempts > 1 && !d.Repeatable() {
			r.warnf(d.Source.Path, "route %q allows %d attempts, and its calls may run once; only attempts that did not run are repeated", d.Name, d.MaxAttempts)
		}
	}
}

// checkServices reports limits of services that contradict each other.
func (c *Checker) checkServices(r *report) {
	for _, s := range c.draft.Services {
		if s.ColdRate > 0 && s.ColdStart <= 0 {
			r.warnf(s.Source.Path, "service %q has a rate for cold endpoints and no cold period, so its endpoints never count as cold after an evacuation", s.Name)
		}
		if s.Engine != nil {
			checkEngine(r, s)
		}
	}
}

func checkEngine(r *report, s core.ServiceDraft) {
	if s.Engine.Capacity <= 0 {
		r.warnf(s.Source.Path, "engines of service %q have a capacity of 0 tokens, so no generation fits", s.Name)
	}
	if s.Engine.Slots <= 0 {
		r.warnf(s.Source.Path, "engines of service %q have 0 slots, so no generation fits", s.Name)
	}
}

// checkLimits reports limits of all callers that contradict each other or the memory of an instance.
func (c *Checker) checkLimits(r *report) {
	l := c.draft.Limits
	// Once a request has begun, the header timeout bounds its connection and the idle timeout does not.
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		r.warnf(l.Source.Path, "header timeout %v is above the idle timeout %v, so a connection with an unfinished request outlasts an idle one", l.HeaderTimeout, l.IdleTimeout)
	}
	if body := l.MaxBodyBytes(); c.bodyMemory > 0 && body > c.bodyMemory {
		r.warnf(l.Source.Path, "bodies of %d bytes are allowed, and an instance holds %d bytes of bodies at once; larger ones are read one at a time", body, c.bodyMemory)
	}
}
