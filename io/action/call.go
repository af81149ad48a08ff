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
	headerKey     = "Idempotency-Key"
	headerTimeout = "Snipeshed-Timeout-Ms"
	headerFencing = "Fencing-Number"
	headerReplay  = "Snipeshed-Replayed"
	headerID      = "Request-Id"
)

// maxKeyBytes is far above a UUID; it only keeps keys out of the size of logs and headers.
const maxKeyBytes = 255

// maxTimeout is the largest deadline that the settings accept too.
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

// read checks a request and reads its body.
func (a *Action) read(
	w http.ResponseWriter, r *http.Request, id core.RequestID, cred core.Credential, service core.ServiceName, path string,
) (*call, error) {
	if err := a.config.Fresh(); err != nil {
		return nil, err
	}
	cfg := a.config.Config()
	svc, err := allowed(cfg, cred, service)
	if err != nil {
		return nil, err
	}
	if svc.GetModel() != "" {
		return nil, badRequest(fmt.Sprintf("service %q is answered by a model", service), "call POST /v1/chat/completions")
	}
	c := &call{
		id: id, team: cred.Team, service: service, method: r.Method, path: "/" + strings.TrimPrefix(path, "/"),
		query: r.URL.RawQuery, header: r.Header.Clone(),
	}
	if len(svc.GetProtected()) > 0 && ambiguous(c.path) {
		return nil, badRequest(fmt.Sprintf("path %q is not in its shortest form", c.path),
			"leave out empty, . and .. segments and backslashes")
	}
	c.protected = isProtected(svc, c.method, c.path)
	if c.protected {
		if c.key, err = idempotencyKey(r.Header); err != nil {
			return nil, err
		}
	}
	timeout, err := a.timeout(cfg, svc, cred, r.Header.Get(headerTimeout), c.protected)
	if err != nil {
		return nil, err
	}
	c.deadline = a.Clock.Now().Add(timeout)
	c.body, err = a.readBody(w, r)
	return c, err
}

func allowed(cfg *core.Config, cred core.Credential, service core.ServiceName) (*wire.Service, error) {
	svc := cfg.Services[service]
	if svc == nil {
		return nil, &core.Error{
			Kind: core.KindUnknownService, Message: fmt.Sprintf("service %q does not exist", service),
			Remedy: "check the name of the service", Run: core.RunNot,
		}
	}
	names := cfg.Teams[cred.Team].GetServices()
	if len(names) > 0 && !slices.Contains(names, string(service)) {
		return nil, &core.Error{
			Kind: core.KindBadCredential, Message: fmt.Sprintf("team %q may not call service %q", cred.Team, service),
			Remedy: "ask an operator to add the service to the team", Run: core.RunNot,
		}
	}
	return svc, nil
}

// ambiguous reports whether an endpoint could take the path for another one, which may be protected.
func ambiguous(path string) bool {
	if strings.ContainsAny(path, "\\\x00") || strings.Contains(path, "//") {
		return true
	}
	return slices.ContainsFunc(strings.Split(path, "/"), func(s string) bool { return s == "." || s == ".." })
}

// isProtected ignores case, since an endpoint may do so; a call that is protected needlessly only needs a key.
func isProtected(svc *wire.Service, method, path string) bool {
	return slices.ContainsFunc(svc.GetProtected(), func(p *wire.ProtectedAction) bool {
		prefix := "/" + strings.TrimPrefix(p.GetPathPrefix(), "/")
		return (p.GetMethod() == "" || strings.EqualFold(p.GetMethod(), method)) &&
			strings.HasPrefix(strings.ToLower(path), strings.ToLower(prefix))
	})
}

func idempotencyKey(h http.Header) (string, error) {
	keys := h.Values(headerKey)
	if len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes {
		return "", badRequest(fmt.Sprintf("a protected action needs one Idempotency-Key of 1 to %d bytes", maxKeyBytes),
			"send a new random key with each action and the same key with its retries")
	}
	return keys[0], nil
}

func (a *Action) timeout(
	cfg *core.Config, svc *wire.Service, cred core.Credential, header string, protected bool,
) (time.Duration, error) {
	if header != "" {
		n, err := strconv.ParseInt(header, 10, 64)
		if err != nil || n <= 0 || n > maxTimeout.Milliseconds() {
			return 0, badRequest(fmt.Sprintf("%s has the value %q", headerTimeout, header),
				fmt.Sprintf("use 1 to %d ms", maxTimeout.Milliseconds()))
		}
		return ms(n), nil
	}
	if protected {
		return ms(a.cfg.GetActionTimeoutMs()), nil
	}
	for _, n := range []int64{svc.GetTimeoutMs(), cfg.Ranks[cred.Rank].GetTimeoutMs()} {
		if n > 0 {
			return ms(n), nil
		}
	}
	return ms(a.cfg.GetDefaultTimeoutMs()), nil
}

func (a *Action) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	// Both fail only on writers without a connection, which need no deadline.
	_ = rc.SetReadDeadline(time.Now().Add(ms(a.cfg.GetBodyTimeoutMs())))
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
			Remedy: "send a smaller body", Run: core.RunNot,
		}
	case err != nil:
		e := badRequest("the body could not be read", "send the complete body within the time allowed")
		e.Cause = err
		return nil, e
	}
	return b, nil
}

func badRequest(message, remedy string) *core.Error {
	return &core.Error{Kind: core.KindBadRequest, Message: message, Remedy: remedy, Run: core.RunNot}
}

// fingerprint identifies what the client asked for; lengths keep the parts apart.
func (c *call) fingerprint() string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(c.method), []byte(c.path), []byte(c.query), c.body} {
		_ = binary.Write(h, binary.BigEndian, uint64(len(part))) // a hash never fails
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

func objectKey(service core.ServiceName, team core.TeamName, key string) string {
	sum := sha256.Sum256([]byte(key))
	return fmt.Sprintf("actions/%s/%s/%s", service, team, hex.EncodeToString(sum[:]))
}
