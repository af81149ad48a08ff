package event

// Kind names an event.
type Kind string

// Kinds of events; docs/OPERATIONS.md explains each.
const (
	Started            Kind = "started"
	Reloaded           Kind = "reloaded"
	Stopping           Kind = "stopping"
	Stopped            Kind = "stopped"
	LinesDropped       Kind = "lines_dropped"
	StoreLost          Kind = "store_lost"
	StoreRegained      Kind = "store_regained"
	WatchBegan         Kind = "watch_began"
	WatchEnded         Kind = "watch_ended"
	PeerFound          Kind = "peer_found"
	PeerLost           Kind = "peer_lost"
	RulesTaken         Kind = "rules_taken"
	RulesPassedOver    Kind = "rules_passed_over"
	EndpointTaken      Kind = "endpoint_taken"
	EndpointLeaving    Kind = "endpoint_leaving"
	EndpointUnreadable Kind = "endpoint_unreadable"
	ProbedLeaving      Kind = "probed_leaving"
	ProbeFailed        Kind = "probe_failed"
	Unreachable        Kind = "unreachable"
	Refused            Kind = "refused"
	Failed             Kind = "failed"
	Answered           Kind = "answered"
	EngineCrashed      Kind = "engine_crashed"
	PartCleared        Kind = "part_cleared"
	Quarantined        Kind = "quarantined"
	Routed             Kind = "routed"
	Opened             Kind = "opened"
	AnswerSkipped      Kind = "answer_skipped"
	Repeated           Kind = "repeated"
	NotRepeated        Kind = "not_repeated"
	Moving             Kind = "moving"
	Copied             Kind = "copied"
	Resumed            Kind = "resumed"
	NotResumed         Kind = "not_resumed"
	Cut                Kind = "cut"
	CallerLeft         Kind = "caller_left"
)
