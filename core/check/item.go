package check

import (
	"fmt"
	"regexp"
	"strings"

	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/wire"
)

// Limits of numbers in tickets.
const (
	maxTimeoutMS  = 7_200_000 // two hours, the longest default_timeout_ms of the settings
	maxTokens     = 1_000_000
	maxWeight     = 1_000_000
	maxPriority   = 1_000_000
	maxQueueLimit = 1_000_000 // calls
	maxPercent    = 100
)

var methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)

func (l location) checkItem(cfg *core.Config, item *wire.Item) error {
	switch body := item.GetBody().(type) {
	case *wire.Item_Service:
		return location{l.Validator, l.path + ".service"}.checkService(body.Service)
	case *wire.Item_Team:
		return location{l.Validator, l.path + ".team"}.checkTeam(body.Team)
	case *wire.Item_Rank:
		return location{l.Validator, l.path + ".rank"}.checkRank(body.Rank)
	case *wire.Item_Endpoint:
		return location{l.Validator, l.path + ".endpoint"}.checkEndpoint(body.Endpoint)
	case *wire.Item_Remove:
		return location{l.Validator, l.path + ".remove"}.checkRemoval(cfg, body.Remove.GetItem())
	}
	return l.fieldError("", "", "give one of service, team, rank, endpoint or remove")
}

func (l location) checkService(s *wire.Service) error {
	if err := firstError(l.checkName("name", s.GetName()), l.checkRange("timeout_ms", s.GetTimeoutMs(), 0, maxTimeoutMS)); err != nil {
		return err
	}
	if s.GetModel() == "" {
		if s.GetMaxTokens() != 0 {
			return l.fieldError("max_tokens", fmt.Sprint(s.GetMaxTokens()), "leave it out of an application service, or name a model")
		}
		return l.checkProtected(s.GetProtected())
	}
	if len(s.GetProtected()) > 0 {
		return l.fieldError("protected", s.GetProtected()[0].GetPathPrefix(), "list protected actions only in a service without a model")
	}
	return firstError(l.checkModel("model", s.GetModel()), l.checkRange("max_tokens", s.GetMaxTokens(), 1, maxTokens))
}

func (l location) checkProtected(actions []*wire.ProtectedAction) error {
	for i, action := range actions {
		field := fmt.Sprintf("protected[%d]", i)
		if !methodPattern.MatchString(action.GetMethod()) {
			return l.fieldError(field+".method", action.GetMethod(), "use an HTTP method in capitals, such as POST")
		}
		if !strings.HasPrefix(action.GetPathPrefix(), "/") {
			return l.fieldError(field+".path_prefix", action.GetPathPrefix(), "start the path with a slash")
		}
	}
	return nil
}

func (l location) checkTeam(t *wire.Team) error {
	if err := firstError(l.checkName("name", t.GetName()), l.checkRange("weight", t.GetWeight(), 0, maxWeight)); err != nil {
		return err
	}
	for i, k := range t.GetKeys() {
		if err := l.checkDigest(fmt.Sprintf("keys[%d].sha256", i), k.GetSha256()); err != nil {
			return err
		}
	}
	return nil
}

func (l location) checkRank(r *wire.Rank) error {
	return firstError(
		l.checkName("name", r.GetName()),
		l.checkRange("priority", r.GetPriority(), -maxPriority, maxPriority),
		l.checkRange("floor_percent", r.GetFloorPercent(), 0, maxPercent),
		l.checkRange("first_token_target_ms", r.GetFirstTokenTargetMs(), 0, maxTimeoutMS),
		l.checkRange("token_gap_target_ms", r.GetTokenGapTargetMs(), 0, maxTimeoutMS),
		l.checkRange("queue_limit", r.GetQueueLimit(), 0, maxQueueLimit),
		l.checkRange("timeout_ms", r.GetTimeoutMs(), 0, maxTimeoutMS),
	)
}

func (l location) checkEndpoint(e *wire.Endpoint) error {
	err := firstError(l.checkName("name", e.GetName()), l.checkAddress("address", e.GetAddress()), l.checkName("failure_domain", e.GetFailureDomain()), l.checkRegion(e.GetRegion()))
	if err != nil {
		return err
	}
	if (e.GetService() == "") == (e.GetWanted() == nil) {
		return l.fieldError("service", e.GetService(), "give either the service of an application runner or the wanted state of a model runner")
	}
	if e.GetWanted() == nil {
		return nil
	}
	w := e.GetWanted()
	err = firstError(l.checkModel("wanted.model", w.GetModel()), l.checkText("wanted.version", w.GetVersion()), l.checkText("wanted.role", w.GetRole()))
	for i, adapter := range w.GetAdapters() {
		err = firstError(err, l.checkModel(fmt.Sprintf("wanted.adapters[%d]", i), adapter))
	}
	return err
}

func (l location) checkRemoval(cfg *core.Config, key string) error {
	if kind, _ := state.SplitKey(key); kind == "" {
		return l.fieldError("item", key, `use a kind and a name, such as "team/tallinn"; kinds are service, team, rank and endpoint`)
	}
	if !exists(cfg, key) {
		return l.fieldError("item", key, "remove only what exists; it may have been removed already")
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
