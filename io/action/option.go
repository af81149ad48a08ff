package action

import (
	"net/http"

	"snipeshed/conf"
	"snipeshed/core"
)

// Option configures an Action.
type Option func(*Action)

// WithClient sets the HTTP client whose transport is used to call endpoints; its timeout and redirect policy are ignored.
func WithClient(c *http.Client) Option { return func(a *Action) { a.client = c } }

// WithInstance sets the instance id that claims record as their holder.
func WithInstance(id core.InstanceID) Option { return func(a *Action) { a.instance = id } }

// WithSettings sets timeouts and size limits.
func WithSettings(cfg *conf.Settings) Option { return func(a *Action) { a.cfg = cfg } }

// WithEndpointUsable sets the function that reports whether an endpoint may get calls; by default, all may.
func WithEndpointUsable(f func(id core.EndpointID, address string) bool) Option {
	return func(a *Action) { a.endpointUsable = f }
}

// WithRetryBudget sets the limit on retries; by default, only the numbers of endpoints and attempts limit them.
func WithRetryBudget(b RetryBudget) Option { return func(a *Action) { a.retryBudget = b } }

// RetryBudget limits retries.
type RetryBudget interface {
	// CountCall records a first transmission.
	CountCall(team core.TeamName, ep core.EndpointID)
	// TakeRetry reports whether a retry after a failure at ep is allowed, and records it if so.
	TakeRetry(team core.TeamName, ep core.EndpointID) bool
}

type unlimitedRetries struct{}

func (unlimitedRetries) CountCall(core.TeamName, core.EndpointID)      {}
func (unlimitedRetries) TakeRetry(core.TeamName, core.EndpointID) bool { return true }
