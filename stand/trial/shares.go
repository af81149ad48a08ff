package trial

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"snipeshed/core"
)

// shareWindow is the time over which fair shares are computed. It equals the longest wait of background work:
// what a policy gave away earlier, while no other team wanted it, it cannot give again.
const shareWindow = 30 * time.Second

// shares has the output tokens that teams asked for and got.
type shares struct{ wanted, served map[core.TeamName]float64 }

func newShares() *shares {
	return &shares{wanted: map[core.TeamName]float64{}, served: map[core.TeamName]float64{}}
}

// fair returns each team's fair share: what it asked for, or an equal part of all served tokens when that is less,
// with what the modest teams leave going to the others.
func (s *shares) fair() map[core.TeamName]float64 {
	var teams []core.TeamName
	total := 0.0
	for t := range s.wanted {
		teams = append(teams, t)
		total += s.served[t]
	}
	slices.SortFunc(teams, func(a, b core.TeamName) int { return cmp.Compare(s.wanted[a], s.wanted[b]) })
	out := map[core.TeamName]float64{}
	for i, t := range teams {
		out[t] = min(s.wanted[t], total/float64(len(teams)-i))
		total -= out[t]
	}
	return out
}

// smallest returns the lowest ratio of a small team's served tokens to the sum of its fair shares.
func smallest(windows []*shares) float64 {
	fair, served := map[core.TeamName]float64{}, map[core.TeamName]float64{}
	for _, w := range windows {
		for t, n := range w.fair() {
			fair[t] += n
			served[t] += w.served[t]
		}
	}
	low := 1.0
	for t, n := range fair {
		if small(t) && n > 0 {
			low = min(low, served[t]/n)
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
