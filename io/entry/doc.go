// Package entry is the HTTP API for clients: it checks credentials, selects a pool, forwards each call to the instance that
// owns the pool and returns the answer to the client.
package entry
