// Package store is the client of the platform's object API and instance list.
package store
