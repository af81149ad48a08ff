package action

import (
	"net/http"

	"snipeshed/conf"
	"snipeshed/core"
)

// Option changes an Action at construction.
type Option func(*Action)

// WithClient sets the HTTP client whose transport reaches endpoints; its timeout and redirect policy are not used.
func WithClient(c *http.Client) Option { return func(a *Action) { a.client = c } }

// WithInstance sets the id recorded as the holder of claims.
func WithInstance(id core.InstanceID) Option { return func(a *Action) { a.instance = id } }

// WithSettings sets timeouts and size limits.
func WithSettings(cfg *conf.Settings) Option { return func(a *Action) { a.cfg = cfg } }

// WithEndpointUsable sets the test that an endpoint must pass to get calls; by default all do.
func WithEndpointUsable(f func(id core.EndpointID, address string) bool) Option {
	return func(a *Action) { a.usable = f }
}

// WithRetryBudget sets the limit on retries; by default only the number of endpoints and attempts limits them.
func WithRetryBudget(b Budget) Option { return func(a *Action) { a.budget = b } }

// Budget limits retries.
type Budget interface {
	// Call records a first transmission.
	Call(team core.TeamName, ep core.EndpointID)
	// Retry reports whether a retry after a failure at ep is allowed, and records it if so.
	Retry(team core.TeamName, ep core.EndpointID) bool
}

type noBudget struct{}

func (noBudget) Call(core.TeamName, core.EndpointID)       {}
func (noBudget) Retry(core.TeamName, core.EndpointID) bool { return true }
