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
	// Nonce is unique to the attempt; whoever made it is the attempt's only sender.
	Nonce       string          `json:"nonce"`
	Attempt     int             `json:"attempt"`
	State       State           `json:"state"`
	Fingerprint string          `json:"fingerprint"`
	Holder      core.InstanceID `json:"holder"`
	// RequestID finds the attempt in the holder's log.
	RequestID core.RequestID `json:"request_id"`
	ClaimedAt int64          `json:"claimed_at_unix_ms"`
	// Deadline only separates in_progress from outcome_unknown for readers, so clock skew between instances is harmless.
	Deadline int64   `json:"deadline_unix_ms"`
	Result   *Result `json:"result,omitempty"`
	// Format is the least version of the record's format that an instance must know to act on it.
	Format int `json:"format,omitempty"`

	// extra holds the fields that a newer version wrote; an update keeps them.
	extra extra.Extra
}

// Format is the highest format of records that this version knows.
const Format = 0

// Newer reports whether the record needs a newer version of snipeshed; its state then says nothing.
func (r Record) Newer() bool { return r.Format > Format }

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
	b, _ := r.extra.Marshal(r) // plain fields always marshal
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

// Expired reports whether a claimed attempt is past its deadline.
func (r Record) Expired(now time.Time) bool { return now.UnixMilli() >= r.Deadline }
