package reply

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"snipeshed/core"
)

// Body is the JSON body of an error response.
type Body struct {
	Error ErrorFields `json:"error"`
}

// ErrorFields are the fields of the error in a Body.
type ErrorFields struct {
	Kind            core.ErrorKind `json:"kind"`
	Message         string         `json:"message"`
	Remedy          string         `json:"remedy,omitempty"`
	Run             core.Execution `json:"run"`
	RequestID       core.RequestID `json:"request_id"`
	RetryAfterMS    int64          `json:"retry_after_ms,omitempty"`
	TokensDelivered core.Tokens    `json:"tokens_delivered,omitempty"`
}

var statusByKind = map[core.ErrorKind]int{
	core.KindBadRequest:     http.StatusBadRequest,
	core.KindBadCredential:  http.StatusUnauthorized,
	core.KindUnknownModel:   http.StatusNotFound,
	core.KindUnknownService: http.StatusNotFound,
	core.KindNotFound:       http.StatusNotFound,
	core.KindBodyTooLarge:   http.StatusRequestEntityTooLarge,
	core.KindKeyReused:      http.StatusUnprocessableEntity,
	core.KindOverloaded:     http.StatusTooManyRequests,
	core.KindDeadline:       http.StatusGatewayTimeout,
	core.KindInProgress:     http.StatusConflict,
	core.KindConflict:       http.StatusConflict,
	core.KindOutcomeUnknown: http.StatusBadGateway,
	core.KindStreamBroken:   http.StatusBadGateway,
	core.KindStoreDown:      http.StatusServiceUnavailable,
	core.KindNoEndpoint:     http.StatusServiceUnavailable,
	core.KindLeaving:        http.StatusServiceUnavailable,
	core.KindStaleState:     http.StatusServiceUnavailable,
	core.KindInternal:       http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status code for an error kind.
func HTTPStatus(k core.ErrorKind) int {
	if s, ok := statusByKind[k]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// TypedError returns err as a *core.Error; any other error becomes one of KindInternal with ExecutionUnknown.
func TypedError(err error) *core.Error {
	var e *core.Error
	if errors.As(err, &e) {
		return e
	}
	return &core.Error{
		Kind: core.KindInternal, Message: "the request failed inside snipeshed",
		Remedy: "report the request id to the operators", Execution: core.ExecutionUnknown, Cause: err,
	}
}

// MarshalError returns the JSON body of an error response.
func MarshalError(id core.RequestID, err error) []byte {
	e := TypedError(err)
	f := ErrorFields{
		Kind: e.Kind, Message: e.Message, Remedy: e.Remedy, Run: e.Execution, RequestID: id,
		RetryAfterMS: e.RetryAfter.Milliseconds(), TokensDelivered: e.TokensDelivered,
	}
	b, _ := json.Marshal(Body{Error: f}) // marshaling cannot fail for these fields
	return b
}

// Error writes an error response.
func Error(w http.ResponseWriter, id core.RequestID, err error) {
	e := TypedError(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Request-Id", string(id))
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(HTTPStatus(e.Kind))
	_, _ = w.Write(MarshalError(id, e)) // the client may have disconnected
}
