package core

// CallRequest is a request for a generation that the receiving instance forwards to the owner of a pool.
type CallRequest struct {
	RequestID    RequestID   `json:"request_id"`
	Pool         PoolID      `json:"pool"`
	Service      ServiceName `json:"service"`
	Team         TeamName    `json:"team"`
	Rank         RankName    `json:"rank"`
	Model        ModelName   `json:"model"`
	Prompt       string      `json:"prompt"`
	MaxTokens    Tokens      `json:"max_tokens"`
	Seed         int64       `json:"seed"`
	DeadlineMS   int64       `json:"deadline_ms"`
	ConfigNumber uint64      `json:"config_number"`
	Avoid        []string    `json:"avoid,omitempty"`
	// PreviouslyQueued reports whether a former owner of the pool had already queued the call, or may have run it.
	PreviouslyQueued bool `json:"admitted,omitempty"`
	// Resume continues a generation that another owner started.
	Resume *ResumePoint `json:"resume,omitempty"`
}

// ResumePoint is the position in a generation at which an interrupted stream continues.
type ResumePoint struct {
	Endpoint   EndpointID   `json:"endpoint"`
	Generation GenerationID `json:"generation_id"`
	From       Tokens       `json:"from"`
	// Waiting reports whether the engine has accepted the generation but may not have begun it.
	Waiting bool `json:"waiting,omitempty"`
}

// Frame is one line of a pool owner's answer to the instance that forwarded a call; at most one field other than More
// is set.
type Frame struct {
	Started *ResumePoint `json:"started,omitempty"`
	Event   *Event       `json:"event,omitempty"`
	Load    *PoolLoad    `json:"load,omitempty"`
	Error   *FrameError  `json:"error,omitempty"`
	// PreviouslyQueued reports that the owner had queued the call and now hands it back because the owner is leaving.
	PreviouslyQueued bool `json:"admitted,omitempty"`
	// More reports whether another frame follows immediately, so that this one needs no flush of its own. A frame
	// without any field only flushes.
	More bool `json:"-"`
}

// FrameError carries an Error between instances.
type FrameError struct {
	Kind         ErrorKind  `json:"kind"`
	Message      string     `json:"message"`
	Remedy       string     `json:"remedy"`
	Execution    Execution  `json:"run"`
	RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
	Tokens       Tokens     `json:"tokens,omitempty"`
	Endpoint     EndpointID `json:"endpoint,omitempty"`
}
