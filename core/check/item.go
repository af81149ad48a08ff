package check

import (
	"fmt"
	"regexp"
	"strings"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// Ranges of numbers in tickets.
const (
	maxTimeoutMS = 7_200_000 // two hours, the longest default_timeout_ms of the settings
	maxTokens    = 1_000_000
	maxWeight    = 1_000_000
	maxPriority  = 1_000_000
	maxQueue     = 1_000_000 // calls
	maxPercent   = 100
)

var methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)

func (a at) item(cfg *core.Config, item *wire.Item) error {
	switch b := item.GetBody().(type) {
	case *wire.Item_Service:
		return at{a.Check, a.path + ".service"}.service(b.Service)
	case *wire.Item_Team:
		return at{a.Check, a.path + ".team"}.team(b.Team)
	case *wire.Item_Rank:
		return at{a.Check, a.path + ".rank"}.rank(b.Rank)
	case *wire.Item_Endpoint:
		return at{a.Check, a.path + ".endpoint"}.endpoint(b.Endpoint)
	case *wire.Item_Remove:
		return at{a.Check, a.path + ".remove"}.removal(cfg, b.Remove.GetItem())
	}
	return a.fault("", "", "give one of service, team, rank, endpoint or remove")
}

func (a at) service(s *wire.Service) error {
	if err := first(a.name("name", s.GetName()), a.within("timeout_ms", s.GetTimeoutMs(), 0, maxTimeoutMS)); err != nil {
		return err
	}
	if s.GetModel() == "" {
		if s.GetMaxTokens() != 0 {
			return a.fault("max_tokens", fmt.Sprint(s.GetMaxTokens()), "leave it out of an application service, or name a model")
		}
		return a.protected(s.GetProtected())
	}
	if len(s.GetProtected()) > 0 {
		return a.fault("protected", s.GetProtected()[0].GetPathPrefix(), "list protected actions only in a service without a model")
	}
	return first(a.model("model", s.GetModel()), a.within("max_tokens", s.GetMaxTokens(), 1, maxTokens))
}

func (a at) protected(actions []*wire.ProtectedAction) error {
	for i, p := range actions {
		field := fmt.Sprintf("protected[%d]", i)
		if !methodPattern.MatchString(p.GetMethod()) {
			return a.fault(field+".method", p.GetMethod(), "use an HTTP method in capitals, such as POST")
		}
		if !strings.HasPrefix(p.GetPathPrefix(), "/") {
			return a.fault(field+".path_prefix", p.GetPathPrefix(), "start the path with a slash")
		}
	}
	return nil
}

func (a at) team(t *wire.Team) error {
	if err := first(a.name("name", t.GetName()), a.within("weight", t.GetWeight(), 0, maxWeight)); err != nil {
		return err
	}
	for i, k := range t.GetKeys() {
		if err := a.digest(fmt.Sprintf("keys[%d].sha256", i), k.GetSha256()); err != nil {
			return err
		}
	}
	return nil
}

func (a at) rank(r *wire.Rank) error {
	return first(
		a.name("name", r.GetName()),
		a.within("priority", r.GetPriority(), -maxPriority, maxPriority),
		a.within("floor_percent", r.GetFloorPercent(), 0, maxPercent),
		a.within("first_token_target_ms", r.GetFirstTokenTargetMs(), 0, maxTimeoutMS),
		a.within("token_gap_target_ms", r.GetTokenGapTargetMs(), 0, maxTimeoutMS),
		a.within("queue_limit", r.GetQueueLimit(), 0, maxQueue),
		a.within("timeout_ms", r.GetTimeoutMs(), 0, maxTimeoutMS),
	)
}

func (a at) endpoint(e *wire.Endpoint) error {
	err := first(a.name("name", e.GetName()), a.address("address", e.GetAddress()), a.name("failure_domain", e.GetFailureDomain()), a.region(e.GetRegion()))
	if err != nil {
		return err
	}
	if (e.GetService() == "") == (e.GetWanted() == nil) {
		return a.fault("service", e.GetService(), "give either the service of an application runner or the wanted state of a model runner")
	}
	if e.GetWanted() == nil {
		return nil
	}
	w := e.GetWanted()
	err = first(a.model("wanted.model", w.GetModel()), a.text("wanted.version", w.GetVersion()), a.text("wanted.role", w.GetRole()))
	for i, adapter := range w.GetAdapters() {
		err = first(err, a.model(fmt.Sprintf("wanted.adapters[%d]", i), adapter))
	}
	return err
}

func (a at) removal(cfg *core.Config, key string) error {
	if kind, _ := state.SplitKey(key); kind == "" {
		return a.fault("item", key, `use a kind and a name, such as "team/tallinn"; kinds are service, team, rank and endpoint`)
	}
	if !exists(cfg, key) {
		return a.fault("item", key, "remove only what exists; it may have been removed already")
	}
	return nil
}

func exists(cfg *core.Config, key string) bool {
	ok := false
	switch kind, name := state.SplitKey(key); kind {
	case state.KindService:
		_, ok = cfg.Services[core.ServiceName(name)]
	case state.KindTeam:
		_, ok = cfg.Teams[core.TeamName(name)]
	case state.KindRank:
		_, ok = cfg.Ranks[core.RankName(name)]
	case state.KindEndpoint:
		_, ok = cfg.Endpoints[core.EndpointID(name)]
	}
	return ok
}
