package trial

import (
	"bufio"
	"encoding/json"
	"math"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/fifo"
	"snipeshed/core/queue"
	"snipeshed/stand/batch"
)

// readRecordedTrace reads testdata/flood.jsonl: ten seconds of the hashimoto workload at four times the capacity of two small engines.
func readRecordedTrace(t *testing.T) []Arrival {
	is := is.New(t)
	f, err := os.Open("testdata/flood.jsonl")
	is.NoErr(err)
	defer f.Close()
	var out []Arrival
	for s := bufio.NewScanner(f); s.Scan(); {
		var a Arrival
		is.NoErr(json.Unmarshal(s.Bytes(), &a))
		out = append(out, a)
	}
	return out
}

// Guards against nondeterministic decisions and against unnoticed changes of a policy. A commit that changes these outcomes
// must state the new ones and the reason.
func TestReplay(t *testing.T) {
	small := Fleet{Engines: 2, Config: batch.Config{KVCapacity: 20_000, MaxRunning: 16}}
	for _, tc := range []struct {
		name   string
		policy func() core.Policy
		want   Outcome
	}{
		{"first-come round robin", func() core.Policy { return fifo.New(fifo.WithRunningLimit(16), fifo.WithQueueLimit(50)) }, Outcome{Started: 134, Done: 134, Tokens: 61054, Preemptions: 14}},
		{"queue", func() core.Policy { return queue.New() }, Outcome{Started: 132, Refused: 2, Done: 132, Tokens: 60562}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			for range 2 {
				got, err := Replay(tc.policy(), &Workloads()[1], small, readRecordedTrace(t))
				is.NoErr(err)
				is.Equal(got, tc.want)
				is.Equal(got.Done, got.Started) // every started call is done
			}
		})
	}
}

// Guards against a flood by one rank that makes urgent calls miss their first-token target or takes the other rank's floor.
func TestFloods(t *testing.T) {
	f := Fleet{Engines: 3}
	for _, w := range Workloads() {
		for _, rank := range []core.RankName{urgent, background} {
			t.Run(w.Name+" "+string(rank), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				phases := []phase{{to: 160 * time.Second, loadFactor: 0.5}, {from: 60 * time.Second, to: 150 * time.Second, loadFactor: 2, rank: rank}}
				m, err := simulate(queue.New(), &w, f, w.newTrace(7, f, phases), phases)
				is.NoErr(err)
				t.Logf("urgent work in target %.4f, kept of floor %.4f, urgent work refused %.4f", m.urgentInTargetShare(), m.keptShareOfFloor(1, otherRank(rank)), ratio(float64(m.refusals[urgent]), float64(m.offers[urgent])))
				is.True(m.urgentInTargetShare() >= 0.99)
				is.True(m.keptShareOfFloor(1, otherRank(rank)) >= 0.95)
			})
		}
	}
}

// TestGapTargetBoundsStall guards against a queue policy that ignores token gap targets: with them, prefills and further
// running calls must stall an engine's streams less than half as long as without.
func TestGapTargetBoundsStall(t *testing.T) {
	is := is.New(t)
	f := Fleet{Engines: 3}
	phases := []phase{{to: 90 * time.Second, loadFactor: 0.5}, {from: 20 * time.Second, to: 90 * time.Second, loadFactor: 2, rank: urgent}}
	stall := func(change func(r *core.RankRule)) float64 {
		w := Workloads()[1]
		for i := range w.rules.Ranks {
			change(&w.rules.Ranks[i])
		}
		m, err := simulate(queue.New(), &w, f, w.newTrace(7, f, phases), phases)
		is.NoErr(err)
		return m.stallMSPerStream()
	}
	with := stall(func(*core.RankRule) {})
	without := stall(func(r *core.RankRule) { r.TokenGapTarget = 0 })
	t.Logf("stall per stream %.1f ms with gap targets and %.1f ms without", with, without)
	is.True(with < 0.5*without)
}

// TestCeiling guards against a ceiling of the small teams' ratio that is too high, because it ignores the capacity that
// urgent work of large teams takes from small teams, or too low, because it deducts more than that.
func TestCeiling(t *testing.T) {
	type tokens = map[core.TeamName]float64
	for _, tc := range []struct {
		name              string
		shares            shares
		smallest, ceiling float64
	}{
		{"all was served", shares{tokens{"small": 40, "large": 90}, tokens{"large": 90}, tokens{"small": 40, "large": 90}}, 1, 1},
		{"urgent work within the fair share", shares{tokens{"small": 40, "large": 90}, tokens{"large": 40}, tokens{"small": 20, "large": 60}}, 0.5, 1},
		{"urgent work beyond the fair share", shares{tokens{"small": 40, "large": 90}, tokens{"large": 60}, tokens{"small": 10, "large": 70}}, 0.25, 0.5},
		{"more urgent work than was served", shares{tokens{"small": 40, "large": 90}, tokens{"small": 10, "large": 80}, tokens{"small": 10, "large": 70}}, 0.25, 0.25},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ws := []*shares{&tc.shares}
			is.True(math.Abs(servedRatioOfSmallTeams(ws)-tc.smallest) < 1e-9)
			is.True(math.Abs(urgentFirstRatioOfSmallTeams(ws)-tc.ceiling) < 1e-9)
		})
	}
}
