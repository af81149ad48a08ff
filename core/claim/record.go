package claim

import (
	"fmt"
	"time"

	"snipeshed/core"
	"snipeshed/core/extra"
)

// State is the recorded state of a protected action.
type State string

// Values of State.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
	StateNotRun  State = "not_run"
)

// Record is the object that the store holds for one idempotency key.
type Record struct {
	// Nonce is unique to the attempt; only the process that created it sends the attempt's request.
	Nonce       string          `json:"nonce"`
	Attempt     int             `json:"attempt"`
	State       State           `json:"state"`
	Fingerprint string          `json:"fingerprint"`
	Holder      core.InstanceID `json:"holder"`
	// RequestID finds the attempt in the holder's log.
	RequestID core.RequestID `json:"request_id"`
	ClaimedAt int64          `json:"claimed_at_unix_ms"`
	// Deadline only decides whether readers report a claimed record as in_progress or as outcome_unknown, so clock skew
	// between instances is harmless.
	Deadline int64   `json:"deadline_unix_ms"`
	Result   *Result `json:"result,omitempty"`
	// Format is the lowest format version that an instance must support to act on the record.
	Format int `json:"format,omitempty"`

	// extra holds fields written by a newer version of snipeshed; an update preserves them.
	extra extra.UnknownFields
}

// Format is the highest record format that this version supports.
const Format = 0

// NeedsNewerVersion reports whether only a newer version of snipeshed can interpret the record; its state then has no
// meaning here.
func (r Record) NeedsNewerVersion() bool { return r.Format > Format }

// Result is an endpoint's recorded answer.
type Result struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// BodyOmitted is set when the body was larger than the limit for recorded results.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// Marshal returns the record's JSON.
func (r Record) Marshal() []byte {
	b, _ := r.extra.Marshal(r) // cannot fail for these field types
	return b
}

// Parse reads a record from JSON.
func Parse(b []byte) (Record, error) {
	var r Record
	var err error
	if r.extra, err = extra.Parse(b, &r); err != nil {
		return Record{}, fmt.Errorf("action record is malformed: %w", err)
	}
	return r, nil
}

// Expired reports whether the attempt's deadline has passed.
func (r Record) Expired(now time.Time) bool { return now.UnixMilli() >= r.Deadline }
