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

// Meter records what clients see; its variables are its own, so that one process can hold several instances.
type Meter struct {
	vars   *expvar.Map
	counts *expvar.Map

	mu     sync.RWMutex
	series map[string]*series
}

// series is the histograms of one team or rank, under their own lock.
type series struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram
	gap        *hdrhistogram.Histogram
	tokens     int64
	requests   int64
}

const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 2 // 1% precision keeps a histogram at about 15 KB
)

// New returns a Meter.
func New() *Meter {
	m := &Meter{vars: new(expvar.Map), counts: new(expvar.Map), series: map[string]*series{}}
	m.vars.Set("counts", m.counts)
	m.vars.Set("latency", expvar.Func(m.snapshot))
	return m
}

// Count adds one to a named counter.
func (m *Meter) Count(name string) { m.counts.Add(name, 1) }

// Value returns a counter.
func (m *Meter) Value(name string) int64 {
	v, _ := m.counts.Get(name).(*expvar.Int) // nil before the first count
	if v == nil {
		return 0
	}
	return v.Value()
}

// FirstToken records the time from a request's arrival to its first token.
func (m *Meter) FirstToken(team core.TeamName, rank core.RankName, d time.Duration) {
	for _, s := range m.both(team, rank) {
		s.mu.Lock()
		_ = s.firstToken.RecordValue(clamp(d)) // the value is clamped to the range
		s.requests++
		s.tokens++
		s.mu.Unlock()
	}
}

// Gap records the time between two tokens.
func (m *Meter) Gap(team core.TeamName, rank core.RankName, d time.Duration) {
	for _, s := range m.both(team, rank) {
		s.mu.Lock()
		_ = s.gap.RecordValue(clamp(d)) // the value is clamped to the range
		s.tokens++
		s.mu.Unlock()
	}
}

func clamp(d time.Duration) int64 { return min(max(d.Microseconds(), lowestMicros), highestMicros) }

func (m *Meter) both(team core.TeamName, rank core.RankName) [2]*series {
	return [2]*series{m.get("team/" + string(team)), m.get("rank/" + string(rank))}
}

func (m *Meter) get(name string) *series {
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
			firstToken: hdrhistogram.New(lowestMicros, highestMicros, digits),
			gap:        hdrhistogram.New(lowestMicros, highestMicros, digits),
		}
		m.series[name] = s
	}
	return s
}

// Quantiles are the quantiles of a histogram in microseconds.
type quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P95   int64 `json:"p95_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

type report struct {
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

func (m *Meter) snapshot() any {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make(map[string]report, len(m.series))
	for name, s := range m.series {
		s.mu.Lock()
		out[name] = report{
			Requests: s.requests, Tokens: s.tokens,
			FirstToken: quantilesOf(s.firstToken), Gap: quantilesOf(s.gap),
		}
		s.mu.Unlock()
	}
	return out
}

// Publish adds a variable, such as the state of the pools.
func (m *Meter) Publish(name string, fn func() any) { m.vars.Set(name, expvar.Func(fn)) }

// ServeHTTP writes this meter's variables and the process's own as JSON.
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
