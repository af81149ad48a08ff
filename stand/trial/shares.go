package trial

import (
	"strings"
	"time"

	"snipeshed/core"
)

// shareWindow is the time over which fair shares are computed. It equals the longest wait of background work:
// what a policy gave away earlier, while no other team wanted it, it cannot give again.
const shareWindow = 30 * time.Second

// shares has the output tokens that teams asked for and got, and the part of the former that is urgent.
type shares struct{ wanted, urgent, served map[core.TeamName]float64 }

func newShares() *shares {
	return &shares{wanted: map[core.TeamName]float64{}, urgent: map[core.TeamName]float64{}, served: map[core.TeamName]float64{}}
}

// fair returns each team's fair share: what it asked for, or an equal part of all served tokens when that is less,
// with what the modest teams leave going to the others.
func (s *shares) fair() map[core.TeamName]float64 { return s.level(nil, s.wanted) }

// urgentFirst returns what each team would get if all urgent work was served first, whoever asked for it, and the
// rest of the served tokens went to the teams that then have the least. When there is more urgent work than was served,
// teams with more of it than their fair share get too much here; no other team's part changes.
func (s *shares) urgentFirst() map[core.TeamName]float64 { return s.level(s.urgent, s.wanted) }

func (s *shares) total() float64 {
	sum := 0.0
	for _, n := range s.served {
		sum += n
	}
	return sum
}

// level divides the served tokens so that all teams get the same, but no team less than its least or more than its
// most; a team without an entry has 0.
func (s *shares) level(least, most map[core.TeamName]float64) map[core.TeamName]float64 {
	const rounds = 64 // halve an interval of any number of tokens to far below one
	total, low, high := s.total(), 0.0, 0.0
	for _, n := range most {
		high = max(high, n)
	}
	out := map[core.TeamName]float64{}
	for range rounds {
		mid, sum := (low+high)/2, 0.0
		for t := range s.wanted {
			out[t] = min(max(mid, least[t]), most[t])
			sum += out[t]
		}
		if sum < total {
			low = mid
		} else {
			high = mid
		}
	}
	return out
}

// smallest returns the lowest ratio of a small team's served tokens to the sum of its fair shares.
func smallest(ws []*shares) float64 {
	return lowest(ws, func(s *shares) map[core.TeamName]float64 { return s.served })
}

// ceiling returns what smallest would return if urgent work came first and all else was fair.
func ceiling(ws []*shares) float64 { return lowest(ws, (*shares).urgentFirst) }

func lowest(ws []*shares, got func(*shares) map[core.TeamName]float64) float64 {
	due, had := map[core.TeamName]float64{}, map[core.TeamName]float64{}
	for _, w := range ws {
		g := got(w)
		for t, n := range w.fair() {
			due[t] += n
			had[t] += g[t]
		}
	}
	low := 1.0
	for t, n := range due {
		if small(t) && n > 0 {
			low = min(low, had[t]/n)
		}
	}
	return low
}

func small(t core.TeamName) bool { return strings.HasPrefix(string(t), "small") }

// window returns the shares of the calls that arrived around the same time.
func (m *meter) window(arrived time.Time) *shares {
	i := int(arrived.Sub(start) / shareWindow)
	for len(m.windows) <= i {
		m.windows = append(m.windows, newShares())
	}
	return m.windows[i]
}
