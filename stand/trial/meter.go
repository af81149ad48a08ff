package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snipeshed/core"
)

// meter measures one run from the clients' side.
type meter struct {
	user     *User
	phases   []phase
	targets  map[core.RankName]time.Duration
	gaps     *hdrhistogram.Histogram
	firsts   map[core.RankName]*hdrhistogram.Histogram
	inTarget int
	streams  int
	stall    time.Duration
	offers   map[core.RankName]int
	refusals map[core.RankName]int
	// windows count by the time of arrival; whole counts the whole run.
	windows    []*shares
	whole      *shares
	recomputed core.Tokens
	// flooded counts the tokens delivered during each phase by rank; a stream's tokens are those that it wanted there.
	flooded []map[core.RankName]core.Tokens
	// wantedIn counts the tokens that would be delivered during each phase if every call started at once.
	wantedIn []map[core.RankName]core.Tokens
	// smallOffers and smallRefusals count the calls of the small teams.
	smallOffers, smallRefusals int
	// offerIn and refusedIn count the calls that arrived during each phase.
	offerIn, refusedIn []map[core.RankName]int
	outcome            Outcome
}

// Histograms record microseconds from 1 µs to 20 minutes with two significant digits.
const (
	histMax    = 1_200_000_000
	histDigits = 2
)

// unhinderedGap is the usual time between tokens of a well-filled engine; the median of all runs is 9 to 13 ms.
const unhinderedGap = 11 * time.Millisecond

func newMeter(u *User, phases []phase) *meter {
	m := &meter{
		user: u, phases: phases, targets: map[core.RankName]time.Duration{}, gaps: hdrhistogram.New(1, histMax, histDigits),
		firsts: map[core.RankName]*hdrhistogram.Histogram{}, offers: map[core.RankName]int{}, refusals: map[core.RankName]int{},
		whole: newShares(),
	}
	for _, r := range u.rules.Ranks {
		m.targets[r.Name] = r.FirstTokenTarget
		m.firsts[r.Name] = hdrhistogram.New(1, histMax, histDigits)
	}
	for range phases {
		m.flooded = append(m.flooded, map[core.RankName]core.Tokens{})
		m.wantedIn = append(m.wantedIn, map[core.RankName]core.Tokens{})
		m.offerIn = append(m.offerIn, map[core.RankName]int{})
		m.refusedIn = append(m.refusedIn, map[core.RankName]int{})
	}
	return m
}

func (m *meter) offered(now time.Time, a *Arrival) {
	m.offers[a.Call.Rank]++
	for _, s := range []*shares{m.whole, m.window(now)} {
		s.wanted[a.Call.Team] += float64(a.Output)
		if a.Call.Rank == urgent {
			s.urgent[a.Call.Team] += float64(a.Output)
		}
	}
	if small(a.Call.Team) {
		m.smallOffers++
	}
	m.each(now, func(i int) { m.offerIn[i][a.Call.Rank]++ })
	from := now.Sub(start)
	to := from + time.Duration(a.Output)*unhinderedGap
	for i, p := range m.phases {
		m.wantedIn[i][a.Call.Rank] += core.Tokens(max(min(to, p.to)-max(from, p.from), 0) / unhinderedGap)
	}
}

func (m *meter) refused(st *stream, _ time.Time) {
	rank := st.arrival.Call.Rank
	m.refusals[rank]++
	m.outcome.Refused++
	if small(st.arrival.Call.Team) {
		m.smallRefusals++
	}
	m.each(st.at, func(i int) { m.refusedIn[i][rank]++ })
}

func (m *meter) first(st *stream, at time.Time) {
	rank := st.arrival.Call.Rank
	d := at.Sub(st.at)
	_ = m.firsts[rank].RecordValue(min(d.Microseconds(), histMax))
	if rank == urgent && d <= m.targets[rank] {
		m.inTarget++
	}
	m.count(rank, at)
}

func (m *meter) gap(st *stream, at time.Time, d time.Duration) {
	rank := st.arrival.Call.Rank
	_ = m.gaps.RecordValue(min(d.Microseconds(), histMax))
	m.stall += max(d-m.user.gapTarget[rank], 0)
	m.count(rank, at)
}

func (m *meter) count(rank core.RankName, at time.Time) {
	m.outcome.Tokens++
	m.each(at, func(i int) { m.flooded[i][rank]++ })
}

func (m *meter) ended(st *stream) {
	m.streams++
	m.whole.served[st.arrival.Call.Team] += float64(st.arrival.Output)
	m.window(st.at).served[st.arrival.Call.Team] += float64(st.arrival.Output)
}

// each calls fn for each phase that now is in.
func (m *meter) each(now time.Time, fn func(i int)) {
	d := now.Sub(start)
	for i, p := range m.phases {
		if d >= p.from && d < p.to {
			fn(i)
		}
	}
}

// kept returns a rank's part of all tokens delivered during a phase.
func (m *meter) kept(i int, r core.RankName) float64 {
	var total core.Tokens
	for _, n := range m.flooded[i] {
		total += n
	}
	return ratio(float64(m.flooded[i][r]), float64(total))
}

// keptOfFloor compares what a rank kept with its floor, or with what it asked for when that is less.
func (m *meter) keptOfFloor(i int, r core.RankName) float64 {
	var total core.Tokens
	for _, n := range m.flooded[i] {
		total += n
	}
	due := min(float64(total)*float64(m.user.floor(r))/100, float64(m.wantedIn[i][r]))
	return min(1, ratio(float64(m.flooded[i][r]), due))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
