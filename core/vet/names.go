package vet

import (
	"strings"

	"snipeshed/core"
)

// entry is an entry of any kind; kind and name identify it.
type entry struct {
	kind, name string
	source     core.DraftEntry
}

// namedEntries returns the routes, services and teams of a draft.
func namedEntries(d *core.ConfigDraft) []entry {
	var out []entry
	for _, r := range d.Routes {
		out = append(out, entry{"route", r.Name, r.Source})
	}
	for _, s := range d.Services {
		out = append(out, entry{"service", string(s.Name), s.Source})
	}
	for _, t := range d.Teams {
		out = append(out, entry{"team", string(t.Name), t.Source})
	}
	return out
}

// checkNames reports names that are missing or repeated. An instance keeps only the last of several services of one name.
func (c *Checker) checkNames(r *report) {
	first := map[[2]string]string{}
	for _, e := range namedEntries(c.draft) {
		id := [2]string{e.kind, e.name}
		switch earlier, ok := first[id]; {
		case e.name == "":
			r.errorf(e.source.Path, "%s has no name", e.kind)
		case ok:
			r.errorf(e.source.Path, "%s %q has the same name as %s", e.kind, e.name, earlier)
		default:
			first[id] = e.source.Path
		}
	}
}

// keyOwner is where an API key is given; keys are secret, so findings name their number.
type keyOwner struct {
	team   core.TeamName
	path   string
	number int // from 1
}

// keyOwners returns the owner of each key of a draft; as in route.Table, the last one counts.
func keyOwners(d *core.ConfigDraft) map[string]keyOwner {
	out := map[string]keyOwner{}
	for _, t := range d.Teams {
		for i, key := range t.Keys {
			out[key] = keyOwner{t.Name, t.Source.Path, i + 1}
		}
	}
	return out
}

func (c *Checker) checkKeys(r *report) {
	seen := map[string]keyOwner{}
	for _, t := range c.draft.Teams {
		if len(t.Keys) == 0 {
			r.warnf(t.Source.Path, "team %q has no keys, so no call is of this team", t.Name)
		}
		for i, key := range t.Keys {
			owner := keyOwner{t.Name, t.Source.Path, i + 1}
			checkKey(r, key, owner)
			if earlier, ok := seen[key]; ok && key != "" {
				r.errorf(owner.path, "key %d of team %q is also key %d of team %q (%s)", owner.number, owner.team, earlier.number, earlier.team, earlier.path)
			}
			seen[key] = owner
		}
	}
}

// checkKey reports a key that cannot be sent in a header, and an empty one, which a call without a key would have.
func checkKey(r *report, key string, owner keyOwner) {
	isControl := func(c rune) bool { return c < ' ' || c == 0x7f }
	switch {
	case key == "":
		r.errorf(owner.path, "key %d of team %q is empty", owner.number, owner.team)
	case strings.Trim(key, " \t") != key || strings.ContainsFunc(key, isControl):
		r.warnf(owner.path, "key %d of team %q has outer spaces or control characters, so no request can send it", owner.number, owner.team)
	}
}
