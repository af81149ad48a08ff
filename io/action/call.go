package action

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"snipeshed/core"
	"snipeshed/wire"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "Snipeshed-Timeout-Ms"
	headerFencing        = "Fencing-Number"
	headerReplayed       = "Snipeshed-Replayed"
	headerRequestID      = "Request-Id"
)

// maxKeyBytes is far above the length of a UUID; it only keeps keys from inflating logs and headers.
const maxKeyBytes = 255

// maxTimeout is also the longest timeout that the settings accept.
const maxTimeout = 2 * time.Hour

type call struct {
	id        core.RequestID
	team      core.TeamName
	service   core.ServiceName
	method    string
	path      string
	query     string
	header    http.Header
	body      []byte
	key       string
	protected bool
	deadline  time.Time
}

// readCall validates a request and reads its body.
func (a *Action) readCall(
	w http.ResponseWriter, r *http.Request, id core.RequestID, cred core.Credential, service core.ServiceName, path string,
) (*call, error) {
	if err := a.config.CheckFresh(); err != nil {
		return nil, err
	}
	cfg := a.config.Config()
	svc, err := allowedService(cfg, cred, service)
	if err != nil {
		return nil, err
	}
	if svc.GetModel() != "" {
		return nil, badRequestError(fmt.Sprintf("service %q is answered by a model", service), "call POST /v1/chat/completions")
	}
	c := &call{
		id: id, team: cred.Team, service: service, method: r.Method, path: "/" + strings.TrimPrefix(path, "/"),
		query: r.URL.RawQuery, header: r.Header.Clone(),
	}
	if len(svc.GetProtected()) > 0 && ambiguousPath(c.path) {
		return nil, badRequestError(fmt.Sprintf("path %q is not in its shortest form", c.path),
			"leave out empty, . and .. segments and backslashes")
	}
	c.protected = isProtected(svc, c.method, c.path)
	if c.protected {
		if c.key, err = idempotencyKey(r.Header); err != nil {
			return nil, err
		}
	}
	timeout, err := a.callTimeout(cfg, svc, cred, r.Header.Get(headerTimeout), c.protected)
	if err != nil {
		return nil, err
	}
	c.deadline = a.Clock.Now().Add(timeout)
	c.body, err = a.readBody(w, r)
	return c, err
}

func allowedService(cfg *core.Config, cred core.Credential, service core.ServiceName) (*wire.Service, error) {
	svc := cfg.Services[service]
	if svc == nil {
		return nil, &core.Error{
			Kind: core.KindUnknownService, Message: fmt.Sprintf("service %q does not exist", service),
			Remedy: "check the name of the service", Execution: core.NotExecuted,
		}
	}
	names := cfg.Teams[cred.Team].GetServices()
	if len(names) > 0 && !slices.Contains(names, string(service)) {
		return nil, &core.Error{
			Kind: core.KindBadCredential, Message: fmt.Sprintf("team %q may not call service %q", cred.Team, service),
			Remedy: "ask an operator to add the service to the team", Execution: core.NotExecuted,
		}
	}
	return svc, nil
}

// ambiguousPath reports whether an endpoint could normalize the path to another one, which may be protected.
func ambiguousPath(path string) bool {
	if strings.ContainsAny(path, "\\\x00") || strings.Contains(path, "//") {
		return true
	}
	return slices.ContainsFunc(strings.Split(path, "/"), func(s string) bool { return s == "." || s == ".." })
}

// isProtected reports whether a call is a protected action. It ignores case, since an endpoint may do so too; a call that
// is protected needlessly only needs an idempotency key.
func isProtected(svc *wire.Service, method, path string) bool {
	return slices.ContainsFunc(svc.GetProtected(), func(p *wire.ProtectedAction) bool {
		prefix := "/" + strings.TrimPrefix(p.GetPathPrefix(), "/")
		return (p.GetMethod() == "" || strings.EqualFold(p.GetMethod(), method)) &&
			strings.HasPrefix(strings.ToLower(path), strings.ToLower(prefix))
	})
}

func idempotencyKey(h http.Header) (string, error) {
	keys := h.Values(headerIdempotencyKey)
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
		return "", badRequestError(fmt.Sprintf("a protected action needs one Idempotency-Key of 1 to %d bytes", maxKeyBytes),
			"send a new random key with each action and the same key with its retries")
	}
	return keys[0], nil
}

func (a *Action) callTimeout(
	cfg *core.Config, svc *wire.Service, cred core.Credential, header string, protected bool,
) (time.Duration, error) {
	if header != "" {
		n, err := strconv.ParseInt(header, 10, 64)
		if err != nil || n <= 0 || n > maxTimeout.Milliseconds() {
			return 0, badRequestError(fmt.Sprintf("%s has the value %q", headerTimeout, header),
				fmt.Sprintf("use 1 to %d ms", maxTimeout.Milliseconds()))
		}
		return milliseconds(n), nil
	}
	if protected {
		return milliseconds(a.cfg.GetActionTimeoutMs()), nil
	}
	for _, n := range []int64{svc.GetTimeoutMs(), cfg.Ranks[cred.Rank].GetTimeoutMs()} {
		if n > 0 {
			return milliseconds(n), nil
		}
	}
	return milliseconds(a.cfg.GetDefaultTimeoutMs()), nil
}

func (a *Action) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	// Setting the deadline fails only for a writer without a connection, which needs none.
	_ = rc.SetReadDeadline(time.Now().Add(milliseconds(a.cfg.GetBodyTimeoutMs())))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.cfg.GetMaxBodyBytes()))
	_ = rc.SetReadDeadline(time.Time{})
	var typed *core.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &typed):
		return nil, typed
	case errors.As(err, &tooLarge):
		return nil, &core.Error{
			Kind: core.KindBodyTooLarge, Message: fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit),
			Remedy: "send a smaller body", Execution: core.NotExecuted,
		}
	case err != nil:
		e := badRequestError("the body could not be read", "send the complete body within the time allowed")
		e.Cause = err
		return nil, e
	}
	return b, nil
}

func badRequestError(message, remedy string) *core.Error {
	return &core.Error{Kind: core.KindBadRequest, Message: message, Remedy: remedy, Execution: core.NotExecuted}
}

// fingerprint returns a hash of the request. Each part is preceded by its length, so that different splits into parts give
// different hashes.
func (c *call) fingerprint() string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.method), []byte(c.path), []byte(c.query), c.body} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part))) // writing to a hash never fails
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func objectKey(service core.ServiceName, team core.TeamName, key string) string {
	sum := sha256.Sum256([]byte(key))
	return fmt.Sprintf("actions/%s/%s/%s", service, team, hex.EncodeToString(sum[:]))
}
