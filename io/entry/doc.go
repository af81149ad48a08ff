// Package entry serves clients: it checks credentials, picks a pool, forwards calls to its owner and relays the answers.
package entry
