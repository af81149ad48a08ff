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

// references verifies the whole configuration after the ticket, because a removal breaks references
// of items that the ticket does not touch.
func (a at) references(old, next *core.Config, t *wire.Ticket) error {
	places := places(t)
	for _, name := range slices.Sorted(maps.Keys(next.Teams)) {
		if err := a.place(places, state.KindTeam, string(name)).teamRefs(next, next.Teams[name]); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(next.Endpoints)) {
		if err := a.place(places, state.KindEndpoint, string(name)).endpointRefs(next, next.Endpoints[name]); err != nil {
			return err
		}
	}
	return first(a.uniqueKeys(places, next), a.uniqueAddresses(places, next), a.kindKept(places, old, next), a.floors(next))
}

// places gives the path in the ticket of each item that it sets.
func places(t *wire.Ticket) map[string]string {
	m := map[string]string{}
	for i, item := range t.GetItems() {
		kind, _ := state.SplitKey(state.ItemKey(item))
		m[state.ItemKey(item)] = fmt.Sprintf("items[%d].%s", i, kind)
	}
	return m
}

// place returns the item's place in the ticket, or the item's key for an item that the ticket leaves as it is.
func (a at) place(places map[string]string, kind, name string) at {
	key := kind + "/" + name
	if p, ok := places[key]; ok {
		return at{a.Check, p}
	}
	return at{a.Check, key}
}

func (a at) teamRefs(cfg *core.Config, t *wire.Team) error {
	for i, k := range t.GetKeys() {
		if _, ok := cfg.Ranks[core.RankName(k.GetRank())]; !ok {
			return a.missing(fmt.Sprintf("keys[%d].rank", i), k.GetRank(), state.KindRank)
		}
	}
	for i, s := range t.GetServices() {
		if _, ok := cfg.Services[core.ServiceName(s)]; !ok {
			return a.missing(fmt.Sprintf("services[%d]", i), s, state.KindService)
		}
	}
	return nil
}

func (a at) endpointRefs(cfg *core.Config, e *wire.Endpoint) error {
	if e.GetService() == "" {
		return nil
	}
	s, ok := cfg.Services[core.ServiceName(e.GetService())]
	if !ok {
		return a.missing("service", e.GetService(), state.KindService)
	}
	if s.GetModel() != "" {
		return a.fault("service", e.GetService(), "name an application service; a model runner has a wanted state instead")
	}
	return nil
}

func (a at) missing(field, value, kind string) error {
	return a.fault(field, value, fmt.Sprintf("no such %s after this ticket: add it or refer to another one", kind))
}

func (a at) uniqueKeys(places map[string]string, cfg *core.Config) error {
	owner := map[string]core.TeamName{}
	for _, name := range slices.Sorted(maps.Keys(cfg.Teams)) {
		for i, k := range cfg.Teams[name].GetKeys() {
			if other, ok := owner[k.GetSha256()]; ok {
				return a.place(places, state.KindTeam, string(name)).fault(fmt.Sprintf("keys[%d].sha256", i), k.GetSha256(),
					fmt.Sprintf("use another key; team %q has this one", other))
			}
			owner[k.GetSha256()] = name
		}
	}
	return nil
}

func (a at) uniqueAddresses(places map[string]string, cfg *core.Config) error {
	owner := map[string]core.EndpointID{}
	for _, name := range slices.Sorted(maps.Keys(cfg.Endpoints)) {
		addr := cfg.Endpoints[name].GetAddress()
		if other, ok := owner[addr]; ok {
			return a.place(places, state.KindEndpoint, string(name)).fault("address", addr,
				fmt.Sprintf("use another address; endpoint %q has this one", other))
		}
		owner[addr] = name
	}
	return nil
}

// kindKept refuses to turn a model service into an application service in place: its running calls
// and recorded actions would be read by the other protocol.
func (a at) kindKept(places map[string]string, old, next *core.Config) error {
	for _, name := range slices.Sorted(maps.Keys(next.Services)) {
		before, ok := old.Services[name]
		if ok && (before.GetModel() == "") != (next.Services[name].GetModel() == "") {
			return a.place(places, state.KindService, string(name)).fault("model", next.Services[name].GetModel(),
				"create a service of another name; a service stays a model service or an application service")
		}
	}
	return nil
}

func (a at) floors(cfg *core.Config) error {
	var sum int64
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(cfg.Ranks)) {
		if floor := cfg.Ranks[name].GetFloorPercent(); floor > 0 {
			sum += floor
			parts = append(parts, fmt.Sprintf("%s %d", name, floor))
		}
	}
	if sum > maxPercent {
		return a.fault("floor_percent", strings.Join(parts, ", "), fmt.Sprintf("lower the floors of the ranks to a sum of at most 100; it is %d", sum))
	}
	return nil
}
