package oper

import (
	"context"
	"errors"
	"strings"

	"github.com/twitchtv/twirp"

	"snipeshed/core"
	"snipeshed/wire"
)

// Metadata keys of a Twirp error that carry the fields of a core.Error.
const (
	metaKind   = "kind"
	metaRun    = "run"
	metaRemedy = "remedy"
)

// twirpCodes maps kinds of errors to Twirp codes; other kinds become twirp.Internal.
var twirpCodes = map[core.ErrorKind]twirp.ErrorCode{
	core.KindBadRequest:     twirp.InvalidArgument,
	core.KindBadCredential:  twirp.Unauthenticated,
	core.KindNotFound:       twirp.NotFound,
	core.KindConflict:       twirp.Aborted,
	core.KindStoreDown:      twirp.Unavailable,
	core.KindStaleState:     twirp.Unavailable,
	core.KindOldVersion:     twirp.FailedPrecondition,
	core.KindDeadline:       twirp.DeadlineExceeded,
	core.KindOutcomeUnknown: twirp.Unknown,
}

// errorInterceptor converts the errors of all methods to Twirp errors.
func errorInterceptor(next twirp.Method) twirp.Method {
	return func(ctx context.Context, req any) (any, error) {
		resp, err := next(ctx, req)
		if err != nil {
			return nil, toTwirp(err)
		}
		return resp, nil
	}
}

func toTwirp(err error) twirp.Error {
	var e *core.Error
	if !errors.As(err, &e) {
		e = &core.Error{Kind: core.KindInternal, Message: err.Error(), Execution: core.ExecutionUnknown}
	}
	code, ok := twirpCodes[e.Kind]
	if !ok {
		code = twirp.Internal
	}
	message := e.Message
	if e.Cause != nil {
		message += ": " + e.Cause.Error()
	}
	return twirp.NewError(code, message).
		WithMeta(metaKind, string(e.Kind)).WithMeta(metaRun, string(e.Execution)).WithMeta(metaRemedy, e.Remedy)
}

// ErrorFrom returns the *core.Error that a server of this API sent. Any other error is returned unchanged; the request
// may or may not have reached the server.
func ErrorFrom(err error) error {
	var e twirp.Error
	if !errors.As(err, &e) {
		return err
	}
	if e.Meta(metaKind) == "" {
		return rejectedByTwirp(err, e)
	}
	return &core.Error{
		Kind: core.ErrorKind(e.Meta(metaKind)), Execution: core.Execution(e.Meta(metaRun)),
		Message: e.Msg(), Remedy: e.Meta(metaRemedy),
	}
}

// rejectedByTwirp returns a *core.Error for a request that the server's Twirp layer rejected before calling a method.
func rejectedByTwirp(err error, e twirp.Error) error {
	switch e.Code() {
	case twirp.Malformed:
		return &core.Error{
			Kind: core.KindBadRequest, Execution: core.NotExecuted, Message: "the instance could not read the request: " + e.Msg(),
			Remedy: "keep a ticket below max_body_bytes of the settings and use the same version of snipeshed on both sides",
		}
	case twirp.BadRoute:
		if strings.Contains(e.Meta("twirp_invalid_route"), " "+wire.OperatorPathPrefix) {
			return &core.Error{
				Kind: core.KindOldVersion, Execution: core.NotExecuted, Message: "the instance's version does not serve this request: " + e.Msg(),
				Remedy: "ask an instance of this command's version, or use the command of the instance's version",
			}
		}
		return &core.Error{
			Kind: core.KindNotFound, Execution: core.NotExecuted, Message: "there is no operators' API at this address: " + e.Msg(),
			Remedy: "use the operator_address of an instance",
		}
	}
	return err
}
