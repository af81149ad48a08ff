package core

import "snipeshed/wire"

// Config is the configuration that results from all tickets up to Number; it is immutable.
type Config struct {
	Number    TicketNumber
	Services  map[ServiceName]*wire.Service
	Teams     map[TeamName]*wire.Team
	Ranks     map[RankName]*wire.Rank
	Endpoints map[EndpointID]*wire.Endpoint
	// Keys maps the hex SHA-256 digest of each API key to its credential.
	Keys map[string]Credential
	// SetBy maps each item's key, such as "team/tallinn", to the ticket that last set the item.
	SetBy map[string]TicketNumber
}

// RanksAbove returns the number of ranks with a higher priority than the named one; an unknown rank is below all others.
func (c *Config) RanksAbove(name RankName) int {
	own, known := c.Ranks[name]
	n := 0
	for _, r := range c.Ranks {
		if !known || r.GetPriority() > own.GetPriority() {
			n++
		}
	}
	return n
}

// Credential is the team and rank that an API key authenticates.
type Credential struct {
	Team TeamName
	Rank RankName
}

// ConfigSource provides the current configuration.
type ConfigSource interface {
	// Config returns the current configuration, never nil.
	Config() *Config
	// CheckFresh returns a stale_state error when the configuration cannot be confirmed as up to date.
	CheckFresh() error
}
