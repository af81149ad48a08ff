package gate

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snipeshed/core"
)

const (
	lowestMicros      = 1
	highestMicros     = int64(time.Minute / time.Microsecond)
	significantDigits = 1 // of a histogram value
	// maxSeries limits the number of counters and of histograms.
	maxSeries = 512
)

// Meter collects metrics of calls by service, kind of call, team and outcome; it is the HTTP handler that serves them.
type Meter struct {
	OpenCalls atomic.Int64

	mu        sync.Mutex
	counts    map[string]int64
	latencies map[string]*hdrhistogram.Histogram
	gauges    []func(add func(name string, value int64))
}

// NewMeter returns an empty Meter.
func NewMeter() *Meter {
	return &Meter{counts: map[string]int64{}, latencies: map[string]*hdrhistogram.Histogram{}}
}

var kindNames = map[core.RouteKind]string{
	core.RouteProtected: "protected", core.RouteIdempotent: "idempotent", core.RouteStream: "stream",
}

// RecordCall counts a call; d is the time from its arrival to the end of its response.
func (m *Meter) RecordCall(s core.ServiceName, k core.RouteKind, team core.TeamName, outcome string, d time.Duration) {
	if outcome == "" {
		outcome = "aborted"
	}
	service := fmt.Sprintf("service=%q,kind=%q", s, kindNames[k])
	m.mu.Lock()
	defer m.mu.Unlock()
	m.increment(fmt.Sprintf("calls_total{%s,outcome=%q}", service, outcome))
	m.increment(fmt.Sprintf("team_calls_total{team=%q,outcome=%q}", team, outcome))
	m.recordLatency(fmt.Sprintf("latency_us{%s,outcome=%q", service, outcome), d)
}

// RecordFirstEvent records the time from the arrival of a stream's call to its first event.
func (m *Meter) RecordFirstEvent(s core.ServiceName, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLatency(fmt.Sprintf("first_event_us{service=%q", s), d)
}

// RecordPause records the time between two events of a stream.
func (m *Meter) RecordPause(s core.ServiceName, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordLatency(fmt.Sprintf("pause_us{service=%q", s), d)
}

// Count increments the counter of a decision.
func (m *Meter) Count(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.increment(fmt.Sprintf("decisions_total{decision=%q}", name))
}

func (m *Meter) increment(name string) {
	if _, ok := m.counts[name]; ok || len(m.counts) < maxSeries {
		m.counts[name]++
	}
}

// recordLatency adds a duration to the histogram of a series. The name ends without its closing brace, because ServeHTTP
// appends the quantile label and the brace.
func (m *Meter) recordLatency(name string, d time.Duration) {
	h := m.latencies[name]
	if h == nil {
		if len(m.latencies) >= maxSeries {
			return
		}
		h = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
		m.latencies[name] = h
	}
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros)) // the value is clamped to the range
}

// AddGauges registers a function that reports current values whenever the metrics are read.
func (m *Meter) AddGauges(fn func(add func(name string, value int64))) {
	m.gauges = append(m.gauges, fn)
}

// ServeHTTP writes all metrics as text, one value per line.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var lines []string
	add := func(name string, value int64) { lines = append(lines, fmt.Sprintf("snipeshed_%s %d", name, value)) }
	add("open_calls", m.OpenCalls.Load())
	for _, fn := range m.gauges {
		fn(add)
	}
	m.mu.Lock()
	for name, n := range m.counts {
		add(name, n)
	}
	for name, h := range m.latencies {
		for _, q := range []float64{50, 95, 99} {
			add(fmt.Sprintf("%s,quantile=\"%g\"}", name, q/100), h.ValueAtQuantile(q))
		}
		add(name+",quantile=\"1\"}", h.Max())
		add(strings.Replace(name, "_us{", "_us_count{", 1)+"}", h.TotalCount())
	}
	m.mu.Unlock()
	sort.Strings(lines)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	fmt.Fprintln(w, strings.Join(lines, "\n"))
}
