package core

import "snipeshed/wire"

// Config is the configuration after one ticket; it is never changed once made.
type Config struct {
	Number    TicketNumber
	Services  map[ServiceName]*wire.Service
	Teams     map[TeamName]*wire.Team
	Ranks     map[RankName]*wire.Rank
	Endpoints map[EndpointID]*wire.Endpoint
	// Keys gives the credential of each key by its SHA-256 digest in hex.
	Keys map[string]Credential
	// SetBy gives the ticket that last set each item, by the item's key such as "team/tallinn".
	SetBy map[string]TicketNumber
}

// RanksAbove returns the number of ranks that are more urgent than one; an unknown rank is the least urgent.
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

// Credential is what a client's key stands for.
type Credential struct {
	Team TeamName
	Rank RankName
}

// ConfigSource gives the configuration in force.
type ConfigSource interface {
	// Config returns the configuration in force; it is never nil.
	Config() *Config
	// Fresh returns nil, or the stale_state error when nothing vouches for the configuration.
	Fresh() error
}
