// Package action relays calls to application services and runs protected actions at most once per idempotency key.
package action
