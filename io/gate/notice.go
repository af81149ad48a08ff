package gate

import (
	"time"

	"snipeshed/core"
)

// onEndpointNotice handles the notice that the engine which runs the generation, or the one that keeps its backup, is leaving
// or unreachable.
func (s *stream) onEndpointNotice() {
	up := s.current
	if up == nil {
		up = s.pending
	}
	if up == nil || s.migration.stopped {
		return
	}
	if s.isReplaced(up) {
		s.onEngineReplaced(up)
		return
	}
	if !s.movable() {
		return
	}
	now := time.Now()
	if e := s.g.Endpoints.Get(up.endpoint.ID); e != nil && e.Leaving && !s.migration.leaving {
		s.startMigration(now, up, e.LeavingSince)
		return
	}
	if up.backup != nil && !s.backupUsable(up) {
		up.removeBackup()
	}
}

// isReplaced reports whether another process, at another address, has taken the place of an engine's process before the stream's first
// event. At the same address the request may have reached the later process. After the first event, an engine that has ended is
// noticed by its silence.
func (s *stream) isReplaced(up *upstream) bool {
	e := s.g.Endpoints.Get(up.endpoint.ID)
	return s.eventsSent == 0 && e != nil && e.Started > up.endpoint.Started && up.endpoint.Started != 0 && e.Address != up.endpoint.Address
}

// onEngineReplaced handles an upstream whose engine's process has ended without closing the connection.
func (s *stream) onEngineReplaced(up *upstream) {
	if up == s.pending && up.resumeFrom != "" {
		s.pending = nil
		up.close(false)
		s.onResumeFailed(openResult{upstream: up, err: errProcessEnded})
		return
	}
	if up.openedAt.Sub(s.g.streams.oldestAt(up.endpoint.ID)) > silentSpan {
		up.sentToSilent = true
	}
	s.onUpstreamFailed(up, errProcessEnded)
}

// silentSpan is the time after the first stream without an answer from which on an engine whose process was replaced counts as
// having been silent: later streams are not what ended it.
const silentSpan = 700 * time.Millisecond

func (s *stream) unavailable(ep core.Endpoint) bool {
	e := s.g.Endpoints.Get(ep.ID)
	return e == nil || e.Leaving || time.Now().Before(e.UnreachableUntil) || s.g.Endpoints.IsEvacuated(e.Domain)
}
