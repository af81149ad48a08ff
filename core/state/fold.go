package state

import (
	"maps"

	"snipeshed/core"
	"snipeshed/wire"
)

func newConfig() *core.Config {
	return &core.Config{
		Services:  map[core.ServiceName]*wire.Service{},
		Teams:     map[core.TeamName]*wire.Team{},
		Ranks:     map[core.RankName]*wire.Rank{},
		Endpoints: map[core.EndpointID]*wire.Endpoint{},
		Keys:      map[string]core.Credential{},
		SetBy:     map[string]core.TicketNumber{},
	}
}

// Fold returns the configuration that results from applying a ticket, with the ticket's number; it changes neither argument.
// SetBy keeps removed items with the number of the ticket that removed them, so that a conflict with a removal is detected.
func Fold(cfg *core.Config, t *wire.Ticket) (*core.Config, error) {
	for _, item := range t.GetItems() {
		if ItemKey(item) == "" {
			return nil, &ItemError{Number: core.TicketNumber(t.GetNumber())}
		}
	}
	next := &core.Config{
		Number:    core.TicketNumber(t.GetNumber()),
		Services:  maps.Clone(cfg.Services),
		Teams:     maps.Clone(cfg.Teams),
		Ranks:     maps.Clone(cfg.Ranks),
		Endpoints: maps.Clone(cfg.Endpoints),
		SetBy:     maps.Clone(cfg.SetBy),
	}
	for _, item := range t.GetItems() {
		setItem(next, item)
		next.SetBy[ItemKey(item)] = next.Number
	}
	rebuildKeys(next)
	return next, nil
}

func setItem(cfg *core.Config, item *wire.Item) {
	switch b := item.GetBody().(type) {
	case *wire.Item_Service:
		cfg.Services[core.ServiceName(b.Service.GetName())] = b.Service
	case *wire.Item_Team:
		cfg.Teams[core.TeamName(b.Team.GetName())] = b.Team
	case *wire.Item_Rank:
		cfg.Ranks[core.RankName(b.Rank.GetName())] = b.Rank
	case *wire.Item_Endpoint:
		cfg.Endpoints[core.EndpointID(b.Endpoint.GetName())] = b.Endpoint
	case *wire.Item_Remove:
		removeItem(cfg, b.Remove.GetItem())
	}
}

func removeItem(cfg *core.Config, key string) {
	switch kind, name := SplitKey(key); kind {
	case KindService:
		delete(cfg.Services, core.ServiceName(name))
	case KindTeam:
		delete(cfg.Teams, core.TeamName(name))
	case KindRank:
		delete(cfg.Ranks, core.RankName(name))
	case KindEndpoint:
		delete(cfg.Endpoints, core.EndpointID(name))
	}
}

func rebuildKeys(cfg *core.Config) {
	cfg.Keys = map[string]core.Credential{}
	for name, team := range cfg.Teams {
		for _, k := range team.GetKeys() {
			cfg.Keys[k.GetSha256()] = core.Credential{Team: name, Rank: core.RankName(k.GetRank())}
		}
	}
}
