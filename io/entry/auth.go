package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"snipeshed/core"
)

// authenticate returns the team and rank that the request's bearer key belongs to.
func authenticate(cfg *core.Config, r *http.Request) (core.Credential, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		sum := sha256.Sum256([]byte(key))
		if cred, found := cfg.Keys[hex.EncodeToString(sum[:])]; found {
			return cred, nil
		}
	}
	return core.Credential{}, &core.Error{
		Kind: core.KindBadCredential, Message: "the Authorization header names no known key",
		Remedy: "send Authorization: Bearer <key> with a key of your team", Execution: core.NotExecuted,
	}
}

// checkServiceAccess returns an error unless the service exists and the request's team may call it.
func checkServiceAccess(q *request, name core.ServiceName) error {
	if q.cfg.Services[name] == nil {
		return &core.Error{
			Kind: core.KindUnknownService, Message: fmt.Sprintf("service %q does not exist", name),
			Remedy: "use GET /v1/models for the names of model services", Execution: core.NotExecuted,
		}
	}
	services := q.cfg.Teams[q.cred.Team].GetServices()
	if len(services) > 0 && !slices.Contains(services, string(name)) {
		return &core.Error{
			Kind: core.KindBadCredential, Message: fmt.Sprintf("team %q may not call service %q", q.cred.Team, name),
			Remedy: "ask an operator to add the service to the team", Execution: core.NotExecuted,
		}
	}
	return nil
}
