package fleet

import (
	"fmt"

	"snipeshed/core"
	"snipeshed/wire"
)

// Names and API keys in the ticket that Ticket and NewTicket return.
const (
	Model         = "survey-model"
	Service       = "survey"
	AppService    = "booking"
	UrgentKey     = "key-urgent"
	BackgroundKey = "key-background"
	OtherTeamKey  = "key-other-team"
)

// Ticket returns the first configuration for the fleet's endpoints: two ranks, two teams, a model service and an
// application service.
func (f *Fleet) Ticket() *wire.Ticket {
	var runners, appRunners []string
	for i := range f.Runners {
		runners = append(runners, f.runnerAddress(i))
	}
	for i := range f.AppRunners {
		appRunners = append(appRunners, f.appRunnerAddress(i))
	}
	return NewTicket(runners, appRunners)
}

// NewTicket returns the configuration that Ticket describes, for endpoints at the given addresses.
func NewTicket(runners, appRunners []string) *wire.Ticket {
	t := &wire.Ticket{Id: core.NewRandomID(), Author: "fleet", Comment: "first configuration"}
	add := func(items ...*wire.Item) { t.Items = append(t.Items, items...) }
	add(
		&wire.Item{Body: &wire.Item_Rank{Rank: &wire.Rank{
			Name: "urgent", Priority: 10, FloorPercent: 60, FirstTokenTargetMs: 310, TokenGapTargetMs: 31,
		}}},
		&wire.Item{Body: &wire.Item_Rank{Rank: &wire.Rank{
			Name: "background", Priority: 1, FloorPercent: 20, FirstTokenTargetMs: 5000, TokenGapTargetMs: 200,
		}}},
		&wire.Item{Body: &wire.Item_Service{Service: &wire.Service{Name: Service, Model: Model, MaxTokens: 32768}}},
		&wire.Item{Body: &wire.Item_Service{Service: &wire.Service{
			Name: AppService, Protected: []*wire.ProtectedAction{{Method: "POST", PathPrefix: "/orders"}},
		}}},
		&wire.Item{Body: &wire.Item_Team{Team: &wire.Team{Name: "fukuoka", Weight: 1, Keys: []*wire.Key{
			{Sha256: KeyDigest(UrgentKey), Rank: "urgent"}, {Sha256: KeyDigest(BackgroundKey), Rank: "background"},
		}}}},
		&wire.Item{Body: &wire.Item_Team{Team: &wire.Team{Name: "kumamoto", Weight: 1, Keys: []*wire.Key{
			{Sha256: KeyDigest(OtherTeamKey), Rank: "background"},
		}}}},
	)
	for i, addr := range runners {
		add(&wire.Item{Body: &wire.Item_Endpoint{Endpoint: &wire.Endpoint{
			Name: fmt.Sprintf("runner-%d", i), Address: addr, FailureDomain: string(domain(i)), ChecksFencing: true,
			Wanted: &wire.Wanted{Model: Model, Version: "1"},
		}}})
	}
	for i, addr := range appRunners {
		add(&wire.Item{Body: &wire.Item_Endpoint{Endpoint: &wire.Endpoint{
			Name: fmt.Sprintf("application-%d", i), Address: addr, FailureDomain: string(domain(i)), Service: AppService,
		}}})
	}
	return t
}
