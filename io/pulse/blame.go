package pulse

import (
	"time"

	"snipeshed/core"
	"snipeshed/wire"
)

// encodeBlame adds a report to a full datagram.
func encodeBlame(d *wire.Pulse, r core.BlameReport) {
	for _, c := range r.Crashes {
		crash := &wire.EngineCrash{
			Endpoint: string(c.Engine.ID), Started: c.Engine.Started, Host: c.Host, AgeMs: encodeAge(c.Age), UnusedMs: encodeAge(c.Unused),
		}
		for _, l := range c.Losses {
			lost := &wire.LostRequest{Evidence: wire.Evidence(l.Evidence)}
			for _, part := range l.Parts {
				lost.Parts = append(lost.Parts, string(part))
			}
			crash.Lost = append(crash.Lost, lost)
			if l.Evidence == core.EvidenceHead {
				crash.Parts = append(crash.Parts, lost.Parts...)
			}
		}
		d.Crashes = append(d.Crashes, crash)
	}
	for _, c := range r.Cleared {
		d.Cleared = append(d.Cleared, &wire.ClearedPart{Part: string(c.Part), Complete: c.Complete, AgeMs: encodeAge(c.Age)})
	}
}

// decodeBlame returns the report that a full datagram carries.
func decodeBlame(d *wire.Pulse) core.BlameReport {
	var out core.BlameReport
	for _, c := range d.GetCrashes() {
		out.Crashes = append(out.Crashes, core.CrashReport{
			Engine: core.Incarnation{ID: core.EndpointID(c.GetEndpoint()), Started: c.GetStarted()}, Host: c.GetHost(),
			Losses: decodeLosses(c), Age: decodeAge(c.GetAgeMs()), Unused: decodeAge(c.GetUnusedMs()),
		})
	}
	for _, c := range d.GetCleared() {
		out.Cleared = append(out.Cleared, core.ClearReport{Part: core.PromptPart(c.GetPart()), Complete: c.GetComplete(), Age: decodeAge(c.GetAgeMs())})
	}
	return out
}

// decodeLosses returns the lost requests of a crash; senders of earlier versions tell only the parts of one.
func decodeLosses(c *wire.EngineCrash) []core.Loss {
	if len(c.GetLost()) == 0 && len(c.GetParts()) > 0 {
		return []core.Loss{{Parts: decodeParts(c.GetParts())}}
	}
	var out []core.Loss
	for _, l := range c.GetLost() {
		if e := l.GetEvidence(); e >= wire.Evidence_EVIDENCE_HEAD && e <= wire.Evidence_EVIDENCE_EVENTS {
			out = append(out, core.Loss{Evidence: core.Evidence(e), Parts: decodeParts(l.GetParts())})
		}
	}
	return out
}

func decodeParts(parts []string) []core.PromptPart {
	out := make([]core.PromptPart, len(parts))
	for i, part := range parts {
		out[i] = core.PromptPart(part)
	}
	return out
}

func encodeAge(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

// maxAge bounds the ages of malformed datagrams, which would overflow a time.Duration.
const maxAge = 24 * time.Hour

func decodeAge(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond
}
