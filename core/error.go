package core

import (
	"errors"
	"fmt"
	"time"
)

// ErrorKind classifies an error that is reported to a client or operator.
type ErrorKind string

// Kinds of errors.
const (
	KindBadRequest     ErrorKind = "bad_request"
	KindBadCredential  ErrorKind = "bad_credential"
	KindUnknownModel   ErrorKind = "unknown_model"
	KindUnknownService ErrorKind = "unknown_service"
	KindBodyTooLarge   ErrorKind = "body_too_large"
	KindKeyReused      ErrorKind = "key_reused"
	KindOverloaded     ErrorKind = "overloaded"
	KindDeadline       ErrorKind = "deadline"
	KindInProgress     ErrorKind = "in_progress"
	KindOutcomeUnknown ErrorKind = "outcome_unknown"
	KindStreamBroken   ErrorKind = "stream_broken"
	KindStoreDown      ErrorKind = "store_down"
	KindNoEndpoint     ErrorKind = "no_endpoint"
	KindLeaving        ErrorKind = "leaving"
	KindStaleState     ErrorKind = "stale_state"
	KindConflict       ErrorKind = "conflict"
	KindNotFound       ErrorKind = "not_found"
	// KindOldVersion refuses a ticket that some live instance is too old to apply.
	KindOldVersion ErrorKind = "old_version"
	KindInternal   ErrorKind = "internal"
)

// Execution states whether a request was executed.
type Execution string

// Values of Execution. NotExecuted is used only when it is certain.
const (
	NotExecuted      Execution = "not_run"
	Executed         Execution = "run"
	ExecutionUnknown Execution = "unknown"
)

// Error is a refusal or failure together with the advice in Remedy on what to do about it.
type Error struct {
	Kind            ErrorKind
	Message         string
	Remedy          string
	Execution       Execution
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

// ErrorKindOf returns the kind of err, or KindInternal when it has none.
func ErrorKindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindInternal
}
