package fair

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"snipeshed/core"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func rules(floor int64) core.PolicyRules {
	return core.PolicyRules{
		Ranks:       []core.RankRule{{Name: "low", FloorPercent: floor}, {Name: "high"}},
		TeamWeights: map[core.TeamName]int64{"a": 1, "b": 3},
	}
}

// Guards against weights that are ignored or applied inversely.
func TestWeights(t *testing.T) {
	is := is.New(t)
	s := New()
	s.SetRules(rules(0))
	served := map[core.TeamName]int{}
	for range 500 {
		s.Enqueue("low", "a")
		s.Enqueue("low", "b")
	}
	for range 400 {
		tn := s.AppendTeamsByService("low", nil)[0]
		s.Start("low", tn, 100, 50)
		s.Finish("low", tn, 50)
		served[tn]++
	}
	is.Equal(served, map[core.TeamName]int{"a": 100, "b": 300})
}

// Guards against a rank that gets less than its floor while it has waiting calls, or far more than its floor.
func TestFloorIsKept(t *testing.T) {
	for _, floor := range []int64{5, 10, 20, 50} {
		t.Run(fmt.Sprintf("floor %d", floor), func(t *testing.T) {
			is := is.New(t)
			s := New()
			s.SetRules(rules(floor))
			served := map[core.RankName]float64{}
			var running []core.RankName
			age := []int{}
			s.Enqueue("low", "a")
			for step := range 20_000 {
				for i, r := range running { // one token per running call and step; calls have 50 to 1,000 tokens
					s.RecordOutput(r, 1)
					served[r]++
					if age[i]--; age[i] == 0 {
						s.Finish(r, "a", 0)
						running[i] = ""
					}
				}
				for i := range running {
					if running[i] == "" {
						running[i] = startBelowFloorFirst(s)
						age[i] = 50 + (step*7919)%950
					}
				}
				if len(running) < 40 {
					running = append(running, startBelowFloorFirst(s))
					age = append(age, 50+step*20)
				}
			}
			share := 100 * served["low"] / (served["low"] + served["high"])
			is.True(math.Abs(share-float64(floor)) <= 0.05*float64(floor))
		})
	}
}

// startBelowFloorFirst starts a call of the low rank when that is below its floor, and a call of the high rank otherwise.
func startBelowFloorFirst(s *Scheduler) core.RankName {
	if s.BelowFloor("low") {
		s.Enqueue("low", "a")
		s.Start("low", "a", 1, 0)
		return "low"
	}
	s.Enqueue("high", "a")
	s.Start("high", "a", 1, 0)
	return "high"
}

// Guards against tokens served while capacity was free that keep a team from being served for minutes afterwards, and
// against a decay that distorts weights or the counters at which new teams start.
func TestCountersDecay(t *testing.T) {
	t0 := time.Unix(1_800_000_000, 0)
	for _, tc := range []struct {
		name  string
		ticks int
		tick  time.Duration
		want  []core.TeamName
	}{
		{"at once", 1, 0, []core.TeamName{"b", "c", "a"}},
		{"after a half-life", 1, counterHalfLife, []core.TeamName{"a", "c", "b"}},
		{"after a half-life in small steps", 60_000, counterHalfLife / 60_000, []core.TeamName{"a", "c", "b"}},
		{"the clock goes backwards", 1, -counterHalfLife, []core.TeamName{"b", "c", "a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			s := New()
			s.SetRules(rules(0))
			s.Enqueue("low", "a")
			s.Enqueue("low", "b")
			s.Decay(t0)
			s.Charge("a", 1000, 0)
			s.Charge("b", 300, 0) // 100 for its weight of 3
			for i := range tc.ticks {
				s.Decay(t0.Add(time.Duration(i+1) * tc.tick))
			}
			s.Charge("b", 1500, 0)
			s.Enqueue("low", "c") // starts at the lowest counter and is ordered after the team with that counter
			is.Equal(s.AppendTeamsByService("low", nil), tc.want)
		})
	}
}

// Guards against teams that gain credit by being idle or new, or by ending calls early.
func TestIdleTeamGainsNoCredit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		now := time.Unix(1_800_000_000, 0)
		teams := []core.TeamName{"a", "b", "c", "d"}
		waiting, running := map[core.TeamName]int{}, map[core.TeamName][]core.Tokens{}
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				tn := rapid.SampledFrom(teams).Draw(t, "team")
				low := math.Inf(1)
				for o, n := range waiting {
					if n > 0 {
						low = min(low, s.Counter(o))
					}
				}
				idle := waiting[tn] == 0
				s.Enqueue("r", tn)
				waiting[tn]++
				if idle && !math.IsInf(low, 1) && s.Counter(tn) < low {
					t.Fatalf("idle team starts at counter %v, below the lowest %v", s.Counter(tn), low)
				}
			},
			"start": func(t *rapid.T) {
				order := s.AppendTeamsByService("r", nil)
				if len(order) == 0 {
					t.Skip("no call is waiting")
				}
				cost := core.Tokens(rapid.IntRange(1, 1000).Draw(t, "cost"))
				s.Start("r", order[0], cost/4, cost)
				waiting[order[0]]--
				running[order[0]] = append(running[order[0]], cost)
			},
			"age": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "seconds")) * time.Second)
				s.Decay(now)
			},
			"finish": func(t *rapid.T) {
				tn := rapid.SampledFrom(teams).Draw(t, "team")
				if len(running[tn]) == 0 {
					t.Skip("no call is running")
				}
				before := s.Counter(tn)
				expected := running[tn][0]
				running[tn] = running[tn][1:]
				s.Finish("r", tn, expected)
				if after := s.Counter(tn); after != before {
					t.Fatalf("ending a call early moves the counter from %v to %v", before, after)
				}
				if len(running[tn]) == 0 && s.teamFor(tn).expectedOutput > 1e-6 {
					t.Fatalf("%v tokens are expected of a team without running calls", s.teamFor(tn).expectedOutput)
				}
			},
		})
	})
}
