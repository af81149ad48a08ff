package core

import "time"

// PromptPart identifies a part of a prompt that several requests may share.
type PromptPart string

// Evidence says how far the answer to a request had come when its engine crashed. The less an engine does for other requests at
// that moment, the more likely the request is the cause.
type Evidence uint8

// Values of Evidence.
const (
	EvidenceHead    Evidence = iota // the answer had begun, without an event
	EvidenceWaiting                 // the answer had not begun
	EvidenceEvents                  // events had been sent
)

// Loss is a request that was lost when its engine crashed.
type Loss struct {
	Evidence Evidence
	Parts    []PromptPart // those that other requests may share, as far as they are suspected
	SentAt   time.Time    // when the request was sent; zero if unknown
	EventAt  time.Time    // when the last event of the answer arrived; zero without events
}

// CrashReport says that an engine process crashed, and which requests were lost with it.
type CrashReport struct {
	Engine Incarnation
	Host   string // address of the engine; empty if unknown
	Losses []Loss
	Age    time.Duration // time since the crash
	Unused time.Duration // time since the crash or since a request was last refused on account of it, whichever is shorter
}

// ClearReport says that an engine has answered a prompt with a part, so that earlier crashes are not due to it.
type ClearReport struct {
	Part     PromptPart
	Complete bool          // the answer was complete; a part of one does not explain a crash later in an answer
	Age      time.Duration // time since the answer
}

// BlameReport is what one instance tells the others about crashes of engines. Times are ages because the clocks of instances
// differ.
type BlameReport struct {
	Crashes []CrashReport
	Cleared []ClearReport
	Version uint64 // changes with each change that other instances should hear of soon; not sent
}

// Quarantine is the reason for which a request is not sent to an engine.
type Quarantine struct {
	Part    PromptPart
	Crashes int // number of crashes that are attributed to the part
}
