package core

// Severity is the severity of a Finding.
type Severity string

// Values of Severity.
const (
	// SeverityError marks what an instance rejects or misreads.
	SeverityError Severity = "error"
	// SeverityWarning marks what is valid and probably not intended.
	SeverityWarning Severity = "warning"
	// SeverityChange marks a difference from the configuration in force.
	SeverityChange Severity = "change"
)

// Finding is one result of a check of a routing configuration.
type Finding struct {
	Severity Severity
	Path     string // JSON path of the entry or field
	Text     string
}

// DraftField is a field of an entry as its author wrote it.
type DraftField struct{ Name, Value string }

// DraftEntry is the source of an entry of a ConfigDraft.
type DraftEntry struct {
	Path string
	// Fields has the fields whose values may be printed, in a fixed order.
	Fields []DraftField
}

// RouteDraft is a route of a ConfigDraft.
type RouteDraft struct {
	Route
	Source DraftEntry
}

// ServiceDraft is a service of a ConfigDraft.
type ServiceDraft struct {
	Service
	Source DraftEntry
}

// TeamDraft is a team of a ConfigDraft.
type TeamDraft struct {
	Team
	Source DraftEntry
}

// LimitsDraft holds the limits of a ConfigDraft.
type LimitsDraft struct {
	CallerLimits
	Source DraftEntry
}

// ConfigDraft is a routing configuration before it is submitted; unlike in a RoutingConfig, names may be missing or repeated.
type ConfigDraft struct {
	Version     Version
	VersionPath string
	Routes      []RouteDraft
	Services    []ServiceDraft
	Teams       []TeamDraft
	Limits      LimitsDraft
}
