package pulse

import (
	"time"

	"snipeshed/core"
	"snipeshed/core/tally"
	"snipeshed/io/event"
	"snipeshed/wire"
)

const (
	// clampLogInterval is the minimum time between two log lines on malformed timings.
	clampLogInterval = time.Minute
	// maxTimeMicros bounds the time of malformed datagrams, which would overflow a time.Duration.
	maxTimeMicros = uint64(24 * time.Hour / time.Microsecond * 365)
	// maxWork bounds the work of malformed datagrams.
	maxWork = uint64(1) << 40
)

// decodeLoads returns the loads that a datagram carries. Timings that no calls can have are clamped.
func (p *Pulse) decodeLoads(now time.Time, d *wire.Pulse) map[core.EndpointID]tally.Load {
	out := make(map[core.EndpointID]tally.Load, len(d.GetUses()))
	for _, u := range d.GetUses() {
		light, crowded := decodeTiming(u.GetLight()), decodeTiming(u.GetCrowded())
		load := tally.Load{
			Calls: int(u.GetCalls()), Tokens: core.Tokens(u.GetTokens()),
			UncopiedTokens: core.Tokens(u.GetBare()), PrefillTokens: core.Tokens(u.GetUnread()),
			Failed: int(u.GetFailed()), Ended: int(u.GetEnded()), Light: light.Clamped(), Crowded: crowded.Clamped(),
		}
		if load.Light != light || load.Crowded != crowded {
			p.logClamped(now, d.GetFrom(), u.GetEndpoint())
		}
		out[core.EndpointID(u.GetEndpoint())] = load
	}
	return out
}

func (p *Pulse) logClamped(now time.Time, from, endpoint string) {
	if now.Sub(p.clampLoggedAt) < clampLogInterval {
		return
	}
	p.clampLoggedAt = now
	p.log.Emit(event.TimingClamped, event.Fields{"peer": from, "endpoint": endpoint})
}

// encodeTiming returns nil for a sum over no calls, which takes no room in a datagram.
func encodeTiming(t tally.Timing) *wire.CallTiming {
	if t.Calls == 0 {
		return nil
	}
	return &wire.CallTiming{Calls: uint32(t.Calls), TimeUs: uint64(t.Time.Microseconds()), Work: uint64(t.Work)}
}

func decodeTiming(t *wire.CallTiming) tally.Timing {
	return tally.Timing{
		Calls: int(t.GetCalls()), Time: time.Duration(min(t.GetTimeUs(), maxTimeMicros)) * time.Microsecond,
		Work: core.Tokens(min(t.GetWork(), maxWork)),
	}
}
