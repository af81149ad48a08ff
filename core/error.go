package core

import (
	"errors"
	"fmt"
	"time"
)

// Kind classifies an error that is reported to a client or operator.
type Kind string

// Kinds of errors.
const (
	KindBadRequest     Kind = "bad_request"
	KindBadCredential  Kind = "bad_credential"
	KindUnknownModel   Kind = "unknown_model"
	KindUnknownService Kind = "unknown_service"
	KindBodyTooLarge   Kind = "body_too_large"
	KindKeyReused      Kind = "key_reused"
	KindOverloaded     Kind = "overloaded"
	KindDeadline       Kind = "deadline"
	KindInProgress     Kind = "in_progress"
	KindOutcomeUnknown Kind = "outcome_unknown"
	KindStreamBroken   Kind = "stream_broken"
	KindStoreDown      Kind = "store_down"
	KindNoEndpoint     Kind = "no_endpoint"
	KindLeaving        Kind = "leaving"
	KindStaleState     Kind = "stale_state"
	KindConflict       Kind = "conflict"
	KindNotFound       Kind = "not_found"
	// KindOldVersion refuses a ticket that some live instance is too old to apply.
	KindOldVersion Kind = "old_version"
	KindInternal   Kind = "internal"
)

// Run states whether a request was executed.
type Run string

// Values of Run. RunNot is used only when it is certain.
const (
	RunNot     Run = "not_run"
	RunYes     Run = "run"
	RunUnknown Run = "unknown"
)

// Error is a refusal or failure together with the advice in Remedy on what to do about it.
type Error struct {
	Kind            Kind
	Message         string
	Remedy          string
	Run             Run
	RetryAfter      time.Duration
	TokensDelivered Tokens
	Cause           error
}

// Error returns the kind, message, cause and remedy.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s", e.Kind, e.Message)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// KindOf returns the kind of err, or KindInternal when it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}
