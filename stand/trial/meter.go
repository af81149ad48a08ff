package trial

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snipeshed/core"
)

// meter collects the measurements of one run from the clients' point of view.
type meter struct {
	workload         *Workload
	phases           []phase
	targets          map[core.RankName]time.Duration
	tokenGaps        *hdrhistogram.Histogram
	firstTokenDelays map[core.RankName]*hdrhistogram.Histogram
	urgentInTarget   int                   // urgent calls whose first token arrived within the target
	streams          int                   // calls that ended
	stall            time.Duration         // sum by which token gaps exceeded their target
	offers           map[core.RankName]int // arrived calls by rank
	refusals         map[core.RankName]int // refused calls by rank
	// windows holds the shares by arrival time, one entry per shareWindow; wholeRun holds those of the whole run.
	windows    []*shares
	wholeRun   *shares
	recomputed core.Tokens
	// deliveredIn counts the tokens delivered during each phase by rank, also those of calls that arrived before the phase.
	deliveredIn []map[core.RankName]core.Tokens
	// wantedIn counts the tokens that would be delivered during each phase by rank if every call started on arrival and got a
	// token each typicalTokenGap.
	wantedIn []map[core.RankName]core.Tokens
	// smallTeamOffers and smallTeamRefusals count the arrived and the refused calls of small teams.
	smallTeamOffers, smallTeamRefusals int
	// offeredIn and refusedIn count the arrived and the refused calls by rank and by the phase of arrival.
	offeredIn, refusedIn []map[core.RankName]int
	outcome              Outcome
}

// Histograms record microseconds from 1 µs to 20 minutes with two significant digits.
const (
	histMaxMicros = 1_200_000_000
	histDigits    = 2
)

// typicalTokenGap is the typical time between tokens on a well-filled engine.
const typicalTokenGap = 11 * time.Millisecond

func newMeter(w *Workload, phases []phase) *meter {
	m := &meter{
		workload: w, phases: phases, targets: map[core.RankName]time.Duration{}, tokenGaps: hdrhistogram.New(1, histMaxMicros, histDigits),
		firstTokenDelays: map[core.RankName]*hdrhistogram.Histogram{}, offers: map[core.RankName]int{}, refusals: map[core.RankName]int{},
		wholeRun: newShares(),
	}
	for _, r := range w.rules.Ranks {
		m.targets[r.Name] = r.FirstTokenTarget
		m.firstTokenDelays[r.Name] = hdrhistogram.New(1, histMaxMicros, histDigits)
	}
	for range phases {
		m.deliveredIn = append(m.deliveredIn, map[core.RankName]core.Tokens{})
		m.wantedIn = append(m.wantedIn, map[core.RankName]core.Tokens{})
		m.offeredIn = append(m.offeredIn, map[core.RankName]int{})
		m.refusedIn = append(m.refusedIn, map[core.RankName]int{})
	}
	return m
}

func (m *meter) recordOffer(now time.Time, a *Arrival) {
	m.offers[a.Call.Rank]++
	for _, s := range []*shares{m.wholeRun, m.windowOf(now)} {
		s.requested[a.Call.Team] += float64(a.Output)
		if a.Call.Rank == urgent {
			s.urgent[a.Call.Team] += float64(a.Output)
		}
	}
	if isSmallTeam(a.Call.Team) {
		m.smallTeamOffers++
	}
	m.forEachPhase(now, func(i int) { m.offeredIn[i][a.Call.Rank]++ })
	from := now.Sub(startTime)
	to := from + time.Duration(a.Output)*typicalTokenGap
	for i, p := range m.phases {
		m.wantedIn[i][a.Call.Rank] += core.Tokens(max(min(to, p.to)-max(from, p.from), 0) / typicalTokenGap)
	}
}

func (m *meter) recordRefusal(st *stream, _ time.Time) {
	rank := st.arrival.Call.Rank
	m.refusals[rank]++
	m.outcome.Refused++
	if isSmallTeam(st.arrival.Call.Team) {
		m.smallTeamRefusals++
	}
	m.forEachPhase(st.arrivedAt, func(i int) { m.refusedIn[i][rank]++ })
}

func (m *meter) recordFirstToken(st *stream, at time.Time) {
	rank := st.arrival.Call.Rank
	d := at.Sub(st.arrivedAt)
	_ = m.firstTokenDelays[rank].RecordValue(min(d.Microseconds(), histMaxMicros))
	if rank == urgent && d <= m.targets[rank] {
		m.urgentInTarget++
	}
	m.countToken(rank, at)
}

func (m *meter) recordGap(st *stream, at time.Time, d time.Duration) {
	rank := st.arrival.Call.Rank
	_ = m.tokenGaps.RecordValue(min(d.Microseconds(), histMaxMicros))
	m.stall += max(d-m.workload.gapTarget[rank], 0)
	m.countToken(rank, at)
}

func (m *meter) countToken(rank core.RankName, at time.Time) {
	m.outcome.Tokens++
	m.forEachPhase(at, func(i int) { m.deliveredIn[i][rank]++ })
}

func (m *meter) recordEnd(st *stream) {
	m.streams++
	m.wholeRun.served[st.arrival.Call.Team] += float64(st.arrival.Output)
	m.windowOf(st.arrivedAt).served[st.arrival.Call.Team] += float64(st.arrival.Output)
}

// forEachPhase calls fn for each phase that contains now.
func (m *meter) forEachPhase(now time.Time, fn func(i int)) {
	d := now.Sub(startTime)
	for i, p := range m.phases {
		if d >= p.from && d < p.to {
			fn(i)
		}
	}
}

// deliveredShare returns a rank's fraction of all tokens delivered during a phase.
func (m *meter) deliveredShare(i int, r core.RankName) float64 {
	var total core.Tokens
	for _, n := range m.deliveredIn[i] {
		total += n
	}
	return ratio(float64(m.deliveredIn[i][r]), float64(total))
}

// keptShareOfFloor returns the ratio of the tokens delivered to a rank during a phase to the rank's floor, or to the tokens
// it wanted if those are fewer. It is at most 1.
func (m *meter) keptShareOfFloor(i int, r core.RankName) float64 {
	var total core.Tokens
	for _, n := range m.deliveredIn[i] {
		total += n
	}
	due := min(float64(total)*float64(m.workload.floorPercent(r))/100, float64(m.wantedIn[i][r]))
	return min(1, ratio(float64(m.deliveredIn[i][r]), due))
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
