package blame

import (
	"time"

	"snipeshed/core"
)

const (
	// shareSpan is the time over which requests are counted; the span before it counts too.
	shareSpan = 10 * time.Second
	// commonShare is the share of requests from which on a part is common: it is in most requests that any crash loses, whatever
	// the cause, and without requests that have it there would be no answer to clear it.
	commonShare = 0.8
	// minRequests is the number of requests from which on shares count.
	minRequests     = 8
	maxCountedParts = 2048
)

// partShares counts how many of an instance's recent requests have each part.
type partShares struct {
	now, before counts
	startedAt   time.Time // of the counts in now
}

// counts are numbers of requests.
type counts struct {
	total int
	of    map[core.PromptPart]int
}

// add counts a request.
func (s *partShares) add(now time.Time, parts []core.PromptPart) {
	if now.Sub(s.startedAt) > shareSpan {
		s.before = s.now
		if now.Sub(s.startedAt) > 2*shareSpan {
			s.before = counts{}
		}
		s.now, s.startedAt = counts{of: map[core.PromptPart]int{}}, now
	}
	s.now.total++
	for _, part := range parts {
		if s.now.of[part] > 0 || len(s.now.of) < maxCountedParts {
			s.now.of[part]++
		}
	}
}

// isCommon reports whether nearly all recent requests have a part.
func (s *partShares) isCommon(part core.PromptPart) bool {
	total := s.now.total + s.before.total
	return total >= minRequests && float64(s.now.of[part]+s.before.of[part]) >= commonShare*float64(total)
}
