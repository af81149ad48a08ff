package vet

import (
	"net/netip"
	"net/url"
	"strings"

	"snipeshed/core"
)

// checkTargets reports routes whose calls have no service.
func (c *Checker) checkTargets(r *report) {
	for i := range c.draft.Routes {
		d := &c.draft.Routes[i]
		if len(d.Targets) == 0 {
			r.errorf(d.Source.Path, "route %q has no service", d.Name)
		} else if totalWeight(d) == 0 {
			r.errorf(d.Source.Path, "weights of route %q add up to 0", d.Name)
		}
		for _, t := range d.Targets {
			if _, ok := c.index.Services[t.Service]; !ok {
				r.errorf(d.Source.Path, "route %q uses service %q, which does not exist", d.Name, t.Service)
			}
		}
	}
}

func totalWeight(d *core.RouteDraft) int {
	total := 0
	for _, t := range d.Targets {
		total += max(t.Weight, 0)
	}
	return total
}

// share returns the part of a route's calls that a service gets; a missing route has no calls.
func share(d *core.RouteDraft, service core.ServiceName) float64 {
	if d == nil {
		return 0
	}
	weight := 0
	for _, t := range d.Targets {
		if t.Service == service {
			weight += max(t.Weight, 0)
		}
	}
	return float64(weight) / float64(max(totalWeight(d), 1))
}

// checkMatches reports routes that no request can have.
func (c *Checker) checkMatches(r *report) {
	for i := range c.draft.Routes {
		d := &c.draft.Routes[i]
		host, prefix := describeHost(d.Host), describePrefix(d.Prefix)
		if host != "" {
			r.warnf(d.Source.Path, "route %q never matches: host %q %s", d.Name, d.Host, host)
		}
		if prefix != "" {
			r.warnf(d.Source.Path, "route %q never matches: prefix %q %s", d.Name, d.Prefix, prefix)
		}
		if other := c.index.find(d.Host, d.Prefix); host == "" && prefix == "" && other != d {
			r.warnf(d.Source.Path, "route %q never matches: %s has the same host and prefix, and the last one counts", d.Name, other.Source.Path)
		}
	}
}

// describeHost says why no request can have a host; it returns "" for a valid one.
func describeHost(host string) string {
	isOther := func(c rune) bool { return !isLetterOrDigit(c) && !strings.ContainsRune("-._~:[]", c) }
	switch {
	case host == "":
		return "is empty"
	case strings.Contains(host, "*"):
		return "is a pattern, and hosts are compared as they are"
	case strings.ContainsFunc(host, isOther):
		return "has characters that no host has"
	case strings.ContainsAny(host, ":[]") && !isIPv6(host):
		return "has a port, which is removed from the host of a request, or is no IPv6 address"
	}
	return ""
}

func isIPv6(host string) bool {
	inner, opened := strings.CutPrefix(host, "[")
	inner, closed := strings.CutSuffix(inner, "]")
	ip, err := netip.ParseAddr(inner)
	return opened == closed && err == nil && ip.Is6()
}

func isLetterOrDigit(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

// describePrefix says why no request's path can have a prefix that the route table finds; it returns "" for a valid one.
func describePrefix(prefix string) string {
	isOther := func(c rune) bool { return c <= ' ' || c > '~' || c == '?' || c == '#' }
	switch {
	case !strings.HasPrefix(prefix, "/"):
		return "does not start with a slash"
	case !strings.HasSuffix(prefix, "/"):
		return "does not end with a slash"
	case strings.ContainsFunc(prefix, isOther):
		return "has characters that a request's path never has"
	}
	if _, err := url.ParseRequestURI(prefix); err != nil {
		return "has a percent sign that is not followed by two hex digits"
	}
	return ""
}

// checkUse reports services that get no calls.
func (c *Checker) checkUse(r *report) {
	used := map[core.ServiceName]bool{}
	for i := range c.draft.Routes {
		d := &c.draft.Routes[i]
		for _, t := range d.Targets {
			used[t.Service] = used[t.Service] || t.Weight > 0 && c.index.matches(d)
		}
	}
	for _, s := range c.draft.Services {
		if !used[s.Name] {
			r.warnf(s.Source.Path, "no route sends calls to service %q", s.Name)
		}
	}
}
