package admit

import "time"

const (
	// limitInterval is the time between two adjustments of a limit.
	limitInterval = time.Second
	// maxStallShare is the fraction of the streams' time spent beyond the gap target above which the limit shrinks.
	// A larger share serves slightly more tokens in a flood of urgent work, but with longer stalls.
	maxStallShare = 0.002
	// limitStep is the number of calls by which the limit grows per interval without stall. A smaller step serves fewer
	// tokens in a flood; a larger one lengthens the stalls.
	limitStep = 2
	// shrinkNumerator/shrinkDenominator is the factor by which the limit shrinks.
	shrinkNumerator, shrinkDenominator = 7, 8
)

// streamLimit is an adaptive limit of an endpoint's running calls with a token gap target: it grows by addition and
// shrinks by multiplication (AIMD) when the streams spend too much of their time beyond the target.
//
// Prompts that would delay the streams of a full endpoint go to the endpoint with the smallest total delay, usually the
// one with the fewest calls. The limits there shrink and those of the other endpoints grow, so that few streams share an
// engine with long prompts.
type streamLimit struct {
	limit                 int // current maximum number of running calls
	intervalStart         time.Time
	stallTime, streamTime time.Duration
}

// recordGap records a token gap of one of the running calls; maxCalls is the upper bound of the limit.
func (l *streamLimit) recordGap(now time.Time, gap, target time.Duration, running, maxCalls int) {
	if l.intervalStart.IsZero() {
		l.intervalStart = now
	}
	l.streamTime += gap
	if target > 0 && gap > target {
		l.stallTime += gap - target
	}
	if now.Sub(l.intervalStart) < limitInterval {
		return
	}
	if l.stallTime.Seconds() > maxStallShare*l.streamTime.Seconds() {
		l.limit = max(min(l.limit, running)*shrinkNumerator/shrinkDenominator, min(minRunning, maxCalls))
	} else {
		l.limit = min(l.limit+limitStep, maxCalls)
	}
	l.intervalStart, l.stallTime, l.streamTime = now, 0, 0
}
