package admit

import "time"

const (
	// limitInterval is the time between two changes of a limit of running calls.
	limitInterval = time.Second
	// stallAim is the part of the streams' time beyond the gap targets above which the limit shrinks. With 0.005 the
	// stall in a flood of urgent work was 14% higher and 3% more tokens were served.
	stallAim = 0.002
	// limitStep is the growth of the limit per interval without stall. With 1 call 5% fewer tokens were served in a
	// flood, with 4 calls the stall was a fifth higher.
	limitStep = 2
	// limitKeepNum and limitKeepDen are the part of the limit that is kept when it shrinks.
	limitKeepNum, limitKeepDen = 7, 8
)

// runningLimit is an endpoint's limit of running calls with a token gap target; it follows the gaps beyond that target.
//
// Prompts that delay the streams of a full endpoint go where the fewest calls run. The limits there shrink and those
// of the other endpoints grow, so that few streams share an engine with long prompts.
type runningLimit struct {
	calls         int
	at            time.Time
	stall, stream time.Duration
}

// add counts a gap of one of the running calls; most is the largest limit.
func (m *runningLimit) add(now time.Time, gap, target time.Duration, running, most int) {
	if m.at.IsZero() {
		m.at = now
	}
	m.stream += gap
	if target > 0 && gap > target {
		m.stall += gap - target
	}
	if now.Sub(m.at) < limitInterval {
		return
	}
	if m.stall.Seconds() > stallAim*m.stream.Seconds() {
		m.calls = max(min(m.calls, running)*limitKeepNum/limitKeepDen, min(minRunning, most))
	} else {
		m.calls = min(m.calls+limitStep, most)
	}
	m.at, m.stall, m.stream = now, 0, 0
}
