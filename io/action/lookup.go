package action

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"snipeshed/core"
	"snipeshed/core/claim"
	"snipeshed/io/reply"
)

// lookupResult is the JSON answer to a lookup.
type lookupResult struct {
	Service core.ServiceName `json:"service"`
	State   string           `json:"state"`
	Run     core.Execution   `json:"run"`
	Attempt int              `json:"attempt"`
	Holder  core.InstanceID  `json:"holder"`
	// RequestID is the id of the call that claimed the attempt.
	RequestID core.RequestID `json:"request_id"`
	ClaimedAt int64          `json:"claimed_at_unix_ms"`
	Deadline  int64          `json:"deadline_unix_ms"`
	Result    *claim.Result  `json:"result,omitempty"`
}

// Lookup answers with the recorded state of a protected action: done, not_run, in_progress or outcome_unknown.
func (a *Action) Lookup(
	w http.ResponseWriter, r *http.Request, id core.RequestID, cred core.Credential, service core.ServiceName, key string,
) {
	s, err := a.lookup(r.Context(), cred, service, key)
	if err != nil {
		reply.Error(w, id, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, string(id))
	_ = json.NewEncoder(w).Encode(s) // the client may be gone
}

func (a *Action) lookup(ctx context.Context, cred core.Credential, service core.ServiceName, key string) (lookupResult, error) {
	if _, err := allowedService(a.config.Config(), cred, service); err != nil {
		return lookupResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, milliseconds(a.cfg.GetStoreTimeoutMs()))
	defer cancel()
	o, err := a.store.Get(ctx, objectKey(service, cred.Team, key))
	switch {
	case errors.Is(err, core.ErrNotFound):
		return lookupResult{}, &core.Error{
			Kind: core.KindNotFound, Message: fmt.Sprintf("no action of service %q is recorded with this key", service),
			Remedy: "if a call with this key may still be in flight, look again after its deadline", Execution: core.ExecutionUnknown,
		}
	case err != nil:
		return lookupResult{}, &core.Error{
			Kind: core.KindStoreDown, Message: "the action's record could not be read", Remedy: "look again later",
			Execution: core.ExecutionUnknown, Cause: err,
		}
	}
	rec, err := claim.Parse(o.Value)
	if err != nil {
		return lookupResult{}, &core.Error{
			Kind: core.KindInternal, Message: "the action's record is malformed",
			Remedy: "report the request id to the operators", Execution: core.ExecutionUnknown, Cause: err,
		}
	}
	if rec.NeedsNewerVersion() {
		return lookupResult{}, &core.Error{
			Kind: core.KindOutcomeUnknown, Message: "the action's record was written by a newer version of snipeshed",
			Remedy: "look again when all instances are replaced", Execution: core.ExecutionUnknown,
		}
	}
	s := lookupResult{
		Service: service, Attempt: rec.Attempt, Holder: rec.Holder, RequestID: rec.RequestID, ClaimedAt: rec.ClaimedAt, Deadline: rec.Deadline,
		Result: rec.Result,
	}
	switch {
	case rec.State == claim.StateDone:
		s.State, s.Run = "done", core.Executed
	case rec.State == claim.StateNotRun:
		s.State, s.Run = "not_run", core.NotExecuted
	case !rec.Expired(a.Clock.Now()):
		s.State, s.Run = string(core.KindInProgress), core.ExecutionUnknown
	default:
		s.State, s.Run = string(core.KindOutcomeUnknown), core.ExecutionUnknown
	}
	return s, nil
}
