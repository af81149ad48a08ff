package vet

import (
	"slices"

	"snipeshed/core"
)

// Compare returns the differences from the configuration in force: changes of fields, and as warnings what takes calls away from a service
// or revokes a key.
func (c *Checker) Compare(inForce *core.ConfigDraft) []core.Finding {
	r := &report{}
	if v := c.draft.Version; v > 0 && v <= inForce.Version {
		r.errorf(c.draft.VersionPath, "version %d is not above version %d in force, so instances ignore the file", v, inForce.Version)
	}
	c.compareEntries(r, inForce)
	c.compareKeys(r, inForce)
	c.compareCalls(r, newIndex(inForce))
	return r.findings
}

// allEntries returns the entries of a draft, its limits included.
func allEntries(d *core.ConfigDraft) []entry {
	return append(namedEntries(d), entry{kind: "limits", source: d.Limits.Source})
}

// byID returns the entries by kind and name.
func byID(entries []entry) map[[2]string]entry {
	out := map[[2]string]entry{}
	for _, e := range entries {
		out[[2]string{e.kind, e.name}] = e
	}
	return out
}

func (c *Checker) compareEntries(r *report, inForce *core.ConfigDraft) {
	before, after := allEntries(inForce), allEntries(c.draft)
	old, current := byID(before), byID(after)
	for _, e := range after {
		if o, ok := old[[2]string{e.kind, e.name}]; ok {
			compareFields(r, o.source, e.source)
		} else {
			r.changef(e.source.Path, "%s %q is added", e.kind, e.name)
		}
	}
	for _, o := range before {
		if _, ok := current[[2]string{o.kind, o.name}]; !ok {
			r.changef(o.source.Path, "%s %q of the configuration in force is removed", o.kind, o.name)
		}
	}
}

// compareFields reports the fields that differ; both sources have their fields in the same order, and optional ones may be missing.
func compareFields(r *report, old, current core.DraftEntry) {
	for _, f := range current.Fields {
		path := current.Path + "." + f.Name
		switch o, ok := fieldOf(old, f.Name); {
		case !ok:
			r.changef(path, "field is added with the value %s", f.Value)
		case o.Value != f.Value:
			r.changef(path, "value is %s instead of %s", f.Value, o.Value)
		}
	}
	for _, o := range old.Fields {
		if _, ok := fieldOf(current, o.Name); !ok {
			r.changef(current.Path+"."+o.Name, "field is removed; its value is %s in force", o.Value)
		}
	}
}

func fieldOf(e core.DraftEntry, name string) (core.DraftField, bool) {
	i := slices.IndexFunc(e.Fields, func(f core.DraftField) bool { return f.Name == name })
	if i < 0 {
		return core.DraftField{}, false
	}
	return e.Fields[i], true
}

// compareKeys reports keys that are added, revoked or given to another team.
func (c *Checker) compareKeys(r *report, inForce *core.ConfigDraft) {
	old, current := keyOwners(inForce), keyOwners(c.draft)
	for _, t := range inForce.Teams {
		for i, key := range t.Keys {
			owner, ok := current[key]
			switch {
			case !ok:
				r.warnf(t.Source.Path, "key %d of team %q of the configuration in force is revoked", i+1, t.Name)
			case owner.team != old[key].team:
				r.warnf(owner.path, "key %d of team %q belongs to team %q in force", owner.number, owner.team, old[key].team)
			}
		}
	}
	for _, t := range c.draft.Teams {
		for i, key := range t.Keys {
			if _, ok := old[key]; !ok {
				r.changef(t.Source.Path, "key %d of team %q is added", i+1, t.Name)
			}
		}
	}
}
