package action

import (
	"net/http"
	"time"

	"snipeshed/conf"
	"snipeshed/core"
)

// Option changes an Action at construction.
type Option func(*Action)

// Client sets the HTTP client whose transport reaches endpoints; its timeout and redirect policy are not used.
func Client(c *http.Client) Option { return func(a *Action) { a.client = c } }

// Instance sets the id recorded as the holder of claims.
func Instance(id core.InstanceID) Option { return func(a *Action) { a.instance = id } }

// Settings sets timeouts and size limits.
func Settings(cfg *conf.Settings) Option { return func(a *Action) { a.cfg = cfg } }

// EndpointUsable sets the test that an endpoint must pass to get calls; by default all do.
func EndpointUsable(f func(id core.EndpointID, address string) bool) Option {
	return func(a *Action) { a.usable = f }
}

// RetryBudget sets the limit on retries; by default only the number of endpoints and attempts limits them.
func RetryBudget(b Budget) Option { return func(a *Action) { a.budget = b } }

// Budget limits retries.
type Budget interface {
	// Call records a first transmission.
	Call(now time.Time, team core.TeamName, ep core.EndpointID)
	// Retry reports whether a retry after a failure at ep is allowed, and records it if so.
	Retry(now time.Time, team core.TeamName, ep core.EndpointID) bool
}

type noBudget struct{}

func (noBudget) Call(time.Time, core.TeamName, core.EndpointID)       {}
func (noBudget) Retry(time.Time, core.TeamName, core.EndpointID) bool { return true }
