package meter

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snipeshed/core"
)

// Meter holds the counters and latency histograms of one instance. Its variables are not registered globally, so that one
// process can run several instances.
type Meter struct {
	vars   *expvar.Map
	counts *expvar.Map

	mu     sync.RWMutex
	series map[string]*series
}

// series holds the histograms and counts of one team or rank.
type series struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	tokens     int64
	requests   int64
}

const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 2 // 1% precision keeps a histogram at about 15 KB
)

// New returns a Meter.
func New() *Meter {
	m := &Meter{vars: new(expvar.Map), counts: new(expvar.Map), series: map[string]*series{}}
	m.vars.Set("counts", m.counts)
	m.vars.Set("latency", expvar.Func(m.latencySnapshot))
	return m
}

// Count increments a named counter.
func (m *Meter) Count(name string) { m.counts.Add(name, 1) }

// CounterValue returns the value of a named counter.
func (m *Meter) CounterValue(name string) int64 {
	v, _ := m.counts.Get(name).(*expvar.Int) // not set before the first Count
	if v == nil {
		return 0
	}
	return v.Value()
}

// RecordFirstToken records the time from a request's arrival to its first token.
func (m *Meter) RecordFirstToken(team core.TeamName, rank core.RankName, d time.Duration) {
	for _, s := range m.teamAndRankSeries(team, rank) {
		s.mu.Lock()
		_ = s.firstToken.RecordValue(clampedMicros(d)) // the value is clamped to the range
		s.requests++
		s.tokens++
		s.mu.Unlock()
	}
}

// RecordTokenGap records the time between two tokens.
func (m *Meter) RecordTokenGap(team core.TeamName, rank core.RankName, d time.Duration) {
	for _, s := range m.teamAndRankSeries(team, rank) {
		s.mu.Lock()
		_ = s.gap.RecordValue(clampedMicros(d)) // the value is clamped to the range
		s.tokens++
		s.mu.Unlock()
	}
}

func clampedMicros(d time.Duration) int64 { return min(max(d.Microseconds(), minMicros), maxMicros) }

// teamAndRankSeries returns the series of a team and that of a rank.
func (m *Meter) teamAndRankSeries(team core.TeamName, rank core.RankName) [2]*series {
	return [2]*series{m.seriesByName("team/" + string(team)), m.seriesByName("rank/" + string(rank))}
}

// seriesByName returns a series, creating it on first use.
func (m *Meter) seriesByName(name string) *series {
	m.mu.RLock()
	s := m.series[name]
	m.mu.RUnlock()
	if s != nil {
		return s
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if s = m.series[name]; s == nil {
		s = &series{
			firstToken: hdrhistogram.New(minMicros, maxMicros, significantDigits),
			gap:        hdrhistogram.New(minMicros, maxMicros, significantDigits),
		}
		m.series[name] = s
	}
	return s
}

// quantiles summarizes a histogram; the values are in microseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

type seriesReport struct {
	Requests   int64     `json:"requests"`
	Tokens     int64     `json:"tokens"`
	FirstToken quantiles `json:"first_token"`
	Gap        quantiles `json:"token_gap"`
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	return quantiles{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}

func (m *Meter) latencySnapshot() any {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make(map[string]seriesReport, len(m.series))
	for name, s := range m.series {
		s.mu.Lock()
		out[name] = seriesReport{
			Requests: s.requests, Tokens: s.tokens,
			FirstToken: quantilesOf(s.firstToken), Gap: quantilesOf(s.gap),
		}
		s.mu.Unlock()
	}
	return out
}

// Publish adds a variable whose value is computed by fn on each read.
func (m *Meter) Publish(name string, fn func() any) { m.vars.Set(name, expvar.Func(fn)) }

// ServeHTTP writes the variables of this meter and the global expvar variables of the process as JSON.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	process := map[string]json.RawMessage{}
	expvar.Do(func(kv expvar.KeyValue) { process[kv.Key] = json.RawMessage(kv.Value.String()) })
	b, err := json.Marshal(process)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	fmt.Fprintf(w, "{\"snipeshed\":%s,\"process\":%s}\n", m.vars.String(), b)
}
