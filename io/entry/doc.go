// Package entry is the HTTP API for clients: it checks credentials, selects a pool, forwards each call to the instance that
// owns the pool and relays the answer.
package entry
