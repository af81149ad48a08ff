package check

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// checkReferences checks the whole resulting configuration, because a removal can break references in items that the
// ticket does not set.
func (l location) checkReferences(old, next *core.Config, t *wire.Ticket) error {
	paths := itemPaths(t)
	for _, name := range slices.Sorted(maps.Keys(next.Teams)) {
		if err := l.itemLocation(paths, state.KindTeam, string(name)).checkTeamReferences(next, next.Teams[name]); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(next.Endpoints)) {
		if err := l.itemLocation(paths, state.KindEndpoint, string(name)).checkEndpointReferences(next, next.Endpoints[name]); err != nil {
			return err
		}
	}
	return firstError(l.checkUniqueKeys(paths, next), l.checkUniqueAddresses(paths, next), l.checkServiceKind(paths, old, next), l.checkFloorSum(next))
}

// itemPaths returns the path in the ticket of each item that the ticket sets, by the item's key.
func itemPaths(t *wire.Ticket) map[string]string {
	m := map[string]string{}
	for i, item := range t.GetItems() {
		kind, _ := state.SplitKey(state.ItemKey(item))
		m[state.ItemKey(item)] = fmt.Sprintf("items[%d].%s", i, kind)
	}
	return m
}

// itemLocation returns the item's path in the ticket, or the item's key if the ticket does not set the item.
func (l location) itemLocation(paths map[string]string, kind, name string) location {
	key := kind + "/" + name
	if p, ok := paths[key]; ok {
		return location{l.Validator, p}
	}
	return location{l.Validator, key}
}

func (l location) checkTeamReferences(cfg *core.Config, t *wire.Team) error {
	for i, k := range t.GetKeys() {
		if _, ok := cfg.Ranks[core.RankName(k.GetRank())]; !ok {
			return l.missingReference(fmt.Sprintf("keys[%d].rank", i), k.GetRank(), state.KindRank)
		}
	}
	for i, s := range t.GetServices() {
		if _, ok := cfg.Services[core.ServiceName(s)]; !ok {
			return l.missingReference(fmt.Sprintf("services[%d]", i), s, state.KindService)
		}
	}
	return nil
}

func (l location) checkEndpointReferences(cfg *core.Config, e *wire.Endpoint) error {
	if e.GetService() == "" {
		return nil
	}
	s, ok := cfg.Services[core.ServiceName(e.GetService())]
	if !ok {
		return l.missingReference("service", e.GetService(), state.KindService)
	}
	if s.GetModel() != "" {
		return l.fieldError("service", e.GetService(), "name an application service; a model runner has a wanted state instead")
	}
	return nil
}

func (l location) missingReference(field, value, kind string) error {
	return l.fieldError(field, value, fmt.Sprintf("no such %s after this ticket: add it or refer to another one", kind))
}

func (l location) checkUniqueKeys(paths map[string]string, cfg *core.Config) error {
	owner := map[string]core.TeamName{}
	for _, name := range slices.Sorted(maps.Keys(cfg.Teams)) {
		for i, k := range cfg.Teams[name].GetKeys() {
			if other, ok := owner[k.GetSha256()]; ok {
				return l.itemLocation(paths, state.KindTeam, string(name)).fieldError(fmt.Sprintf("keys[%d].sha256", i), k.GetSha256(),
					fmt.Sprintf("use another key; team %q has this one", other))
			}
			owner[k.GetSha256()] = name
		}
	}
	return nil
}

func (l location) checkUniqueAddresses(paths map[string]string, cfg *core.Config) error {
	owner := map[string]core.EndpointID{}
	for _, name := range slices.Sorted(maps.Keys(cfg.Endpoints)) {
		addr := cfg.Endpoints[name].GetAddress()
		if other, ok := owner[addr]; ok {
			return l.itemLocation(paths, state.KindEndpoint, string(name)).fieldError("address", addr,
				fmt.Sprintf("use another address; endpoint %q has this one", other))
		}
		owner[addr] = name
	}
	return nil
}

// checkServiceKind refuses to turn a model service into an application service or the reverse: calls in flight and
// recorded actions of the service would be interpreted by the wrong protocol.
func (l location) checkServiceKind(paths map[string]string, old, next *core.Config) error {
	for _, name := range slices.Sorted(maps.Keys(next.Services)) {
		before, ok := old.Services[name]
		if ok && (before.GetModel() == "") != (next.Services[name].GetModel() == "") {
			return l.itemLocation(paths, state.KindService, string(name)).fieldError("model", next.Services[name].GetModel(),
				"create a service of another name; a service stays a model service or an application service")
		}
	}
	return nil
}

func (l location) checkFloorSum(cfg *core.Config) error {
	var sum int64
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(cfg.Ranks)) {
		if floor := cfg.Ranks[name].GetFloorPercent(); floor > 0 {
			sum += floor
			parts = append(parts, fmt.Sprintf("%s %d", name, floor))
		}
	}
	if sum > maxPercent {
		return l.fieldError("floor_percent", strings.Join(parts, ", "), fmt.Sprintf("lower the floors of the ranks to a sum of at most 100; it is %d", sum))
	}
	return nil
}
