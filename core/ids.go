package core

import (
	"crypto/rand"
	"encoding/hex"
)

// InstanceID identifies an instance of snipeshed.
type InstanceID string

// EndpointID identifies an endpoint.
type EndpointID string

// FailureDomain names a failure domain.
type FailureDomain string

// TeamName names a team.
type TeamName string

// RankName names a rank, a priority class of calls.
type RankName string

// ServiceName names a service.
type ServiceName string

// ModelName names a model.
type ModelName string

// PoolID identifies a pool of endpoints.
type PoolID string

// RequestID identifies a client's request.
type RequestID string

// GenerationID identifies one generation at one engine.
type GenerationID string

// TicketNumber is a position in the log of change tickets.
type TicketNumber uint64

// Version is the version of an object or a revision of the object API.
type Version uint64

// Tokens counts tokens.
type Tokens int64

// randomIDBytes makes a collision among 10^9 ids less likely than 10^-20.
const randomIDBytes = 16

// NewRandomID returns an unguessable id in hex.
func NewRandomID() string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails
	return hex.EncodeToString(b[:])
}
