package trial

import (
	"strings"
	"time"

	"snipeshed/core"
)

// shareWindow is the length of the windows over which fair shares are computed. It equals the longest wait of background
// work: capacity that a policy gave to one team earlier, while no other team requested it, cannot be given out again.
const shareWindow = 30 * time.Second

// shares counts output tokens by team: those requested, those of urgent requests, and those served.
type shares struct{ requested, urgent, served map[core.TeamName]float64 }

func newShares() *shares {
	return &shares{requested: map[core.TeamName]float64{}, urgent: map[core.TeamName]float64{}, served: map[core.TeamName]float64{}}
}

// maxMinFair returns each team's max-min fair share of the served tokens: a team gets what it requested, or an equal part
// if that is less, and the others divide what it leaves unused.
func (s *shares) maxMinFair() map[core.TeamName]float64 { return s.waterFill(nil, s.requested) }

// urgentFirst returns what each team would get if all urgent requests were served first and the rest of the served tokens
// went to the teams that then have the least. If more urgent work was requested than served, teams whose urgent work
// exceeds their fair share get too much here; the other teams' results are not affected.
func (s *shares) urgentFirst() map[core.TeamName]float64 { return s.waterFill(s.urgent, s.requested) }

func (s *shares) totalServed() float64 {
	sum := 0.0
	for _, n := range s.served {
		sum += n
	}
	return sum
}

// waterFill divides the served tokens by water-filling: all teams get the same amount, except that each team's amount is
// kept within its lower and upper bound; a missing bound is 0.
func (s *shares) waterFill(lower, upper map[core.TeamName]float64) map[core.TeamName]float64 {
	const rounds = 64 // bisection steps, enough to narrow any interval to far below one token
	total, low, high := s.totalServed(), 0.0, 0.0
	for _, n := range upper {
		high = max(high, n)
	}
	out := map[core.TeamName]float64{}
	for range rounds {
		mid, sum := (low+high)/2, 0.0
		for t := range s.requested {
			out[t] = min(max(mid, lower[t]), upper[t])
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

// servedRatioOfSmallTeams returns the lowest ratio, over all small teams, of the served tokens to the sum of the fair shares.
func servedRatioOfSmallTeams(ws []*shares) float64 {
	return lowestRatioOfSmallTeams(ws, func(s *shares) map[core.TeamName]float64 { return s.served })
}

// urgentFirstRatioOfSmallTeams returns what servedRatioOfSmallTeams would be if urgent work were served first and the
// rest divided fairly.
func urgentFirstRatioOfSmallTeams(ws []*shares) float64 {
	return lowestRatioOfSmallTeams(ws, (*shares).urgentFirst)
}

// lowestRatioOfSmallTeams returns the lowest ratio, over all small teams, of the allocated tokens to the fair shares in all windows.
func lowestRatioOfSmallTeams(ws []*shares, allocation func(*shares) map[core.TeamName]float64) float64 {
	fairTokens, gotTokens := map[core.TeamName]float64{}, map[core.TeamName]float64{}
	for _, w := range ws {
		g := allocation(w)
		for t, n := range w.maxMinFair() {
			fairTokens[t] += n
			gotTokens[t] += g[t]
		}
	}
	low := 1.0
	for t, n := range fairTokens {
		if isSmallTeam(t) && n > 0 {
			low = min(low, gotTokens[t]/n)
		}
	}
	return low
}

func isSmallTeam(t core.TeamName) bool { return strings.HasPrefix(string(t), "small") }

// windowOf returns the shares of the window that contains an arrival time.
func (m *meter) windowOf(arrived time.Time) *shares {
	i := int(arrived.Sub(startTime) / shareWindow)
	for len(m.windows) <= i {
		m.windows = append(m.windows, newShares())
	}
	return m.windows[i]
}
