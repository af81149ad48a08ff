package queue

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/admit"
)

var t0 = time.Unix(1_800_000_000, 0)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260204")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func rules() core.PolicyRules {
	return core.PolicyRules{Ranks: []core.RankRule{
		{Name: "low", Priority: 0, FloorPercent: 10, QueueLimit: 4},
		{Name: "high", Priority: 5, QueueLimit: 4, FirstTokenTarget: time.Second},
	}}
}

func runners(n int, kv core.Tokens) []core.RunnerInfo {
	var out []core.RunnerInfo
	for i := range n {
		out = append(out, core.RunnerInfo{ID: core.EndpointID(fmt.Sprintf("e%d", i)), KVCapacity: kv, Accepting: true})
	}
	return out
}

// newSingleSlotQueue returns a queue with a single endpoint that runs one call at a time.
func newSingleSlotQueue(opts ...Option) *Queue {
	q := New(append(opts, WithAdmitOptions(admit.WithRunningLimit(1)))...)
	q.SetRules(t0, rules())
	q.SetRunners(t0, runners(1, 10_000))
	return q
}

func newCall(id, team, rank string) core.Call {
	return core.Call{ID: core.RequestID(id), Service: "s", Team: core.TeamName(team), Rank: core.RankName(rank), PromptTokens: 40, MaxTokens: 100}
}

// previouslyQueuedCall returns a call of team a that a former owner had already queued.
func previouslyQueuedCall(id, rank string) core.Call {
	c := newCall(id, "a", rank)
	c.PreviouslyQueued = true
	return c
}

// slowStarts makes calls of a rank start so slowly that the expected wait of a new call exceeds the rank's target of 1 s;
// it returns the time after that.
func slowStarts(q *Queue, rank string) time.Time {
	rs := rules()
	for i := range rs.Ranks {
		rs.Ranks[i].FirstTokenTarget = time.Second
	}
	q.SetRules(t0, rs)
	now := t0
	q.Offer(now, newCall("0", "a", rank))
	for i := range 4 {
		q.Offer(now, newCall(fmt.Sprint(i+1), "a", rank))
		now = now.Add(900 * time.Millisecond)
		q.Finish(now, core.RequestID(fmt.Sprint(i)), true)
	}
	q.Offer(now, newCall("5", "a", rank))
	return now
}

// describe formats actions as "start 1" and "refuse 2 overloaded not_run".
func describe(acts []core.Action) []string {
	out := []string{}
	for _, a := range acts {
		if a.Kind == core.ActionStart {
			out = append(out, fmt.Sprintf("start %s", a.ID))
		} else {
			out = append(out, fmt.Sprintf("refuse %s %s %s", a.ID, a.Err.Kind, a.Err.Execution))
		}
	}
	return out
}

// Guards against a wrong order of service and against refusals that are late, missing or of the wrong kind.
func TestQueue(t *testing.T) {
	second := t0.Add(time.Second)
	for _, tc := range []struct {
		name string
		do   func(q *Queue) []core.Action
		want []string
	}{
		{"starts at once", func(q *Queue) []core.Action { return q.Offer(t0, newCall("1", "a", "low")) }, []string{"start 1"}},
		{"urgent first", func(q *Queue) []core.Action {
			q.Offer(t0, newCall("1", "a", "low"))
			q.Offer(t0, newCall("2", "a", "low"))
			q.Offer(t0, newCall("3", "a", "high"))
			q.fair.RecordOutput("low", 1000) // the low rank is above its floor
			return q.Finish(t0, "1", true)
		}, []string{"start 3"}},
		{"a rank below its floor first", func(q *Queue) []core.Action {
			q.Offer(t0, newCall("1", "a", "high"))
			q.Offer(t0, newCall("2", "a", "low"))
			q.Offer(t0, newCall("3", "a", "high"))
			q.fair.RecordOutput("high", 1000)
			return q.Finish(t0, "1", true)
		}, []string{"start 2"}},
		{"the team with less service first", func(q *Queue) []core.Action {
			q.Offer(t0, newCall("1", "a", "high"))
			q.Offer(t0, newCall("2", "a", "high"))
			q.Offer(t0, newCall("3", "b", "high"))
			q.Offer(t0, newCall("4", "a", "high"))
			q.Finish(t0, "1", true) // starts 2: a team gets no credit for the time when it was idle
			return q.Finish(t0, "2", true)
		}, []string{"start 3"}},
		{"earlier deadline first within a team", func(q *Queue) []core.Action {
			q.Offer(t0, newCall("1", "a", "low"))
			late, early := newCall("2", "a", "low"), newCall("3", "a", "low")
			late.Deadline, early.Deadline = t0.Add(time.Hour), t0.Add(time.Minute)
			q.Offer(t0, late)
			q.Offer(t0, early)
			return q.Finish(t0, "1", true)
		}, []string{"start 3"}},
		{"queue limit refuses the largest team's newest call", func(q *Queue) []core.Action {
			for i := range 5 {
				q.Offer(t0, newCall(fmt.Sprint(i), "a", "low"))
			}
			return q.Offer(t0, newCall("5", "b", "low"))
		}, []string{"refuse 4 overloaded not_run"}},
		{"deadline passed on arrival", func(q *Queue) []core.Action {
			c := newCall("1", "a", "low")
			c.Deadline = t0
			return q.Offer(t0, c)
		}, []string{"refuse 1 deadline not_run"}},
		{"deadline passed while waiting", func(q *Queue) []core.Action {
			q.Offer(t0, newCall("1", "a", "low"))
			c := newCall("2", "a", "low")
			c.Deadline = second
			q.Offer(t0, c)
			return q.Tick(second)
		}, []string{"refuse 2 deadline not_run"}},
		{"first-token target missed while waiting", func(q *Queue) []core.Action {
			q.Offer(t0, newCall("1", "a", "low"))
			q.Offer(t0, newCall("2", "a", "high"))
			return q.Tick(t0.Add(1001 * time.Millisecond))
		}, []string{"refuse 2 overloaded not_run"}},
		{"expected wait beyond the target", func(q *Queue) []core.Action {
			q.Offer(t0, newCall("0", "a", "high"))
			at := t0
			for i := range 6 { // one start each 0.9 s while calls wait
				q.Offer(at, newCall(fmt.Sprintf("%da", i), "a", "high"))
				at = at.Add(900 * time.Millisecond)
				id := core.RequestID("0")
				if i > 0 {
					id = core.RequestID(fmt.Sprintf("%da", i-1))
				}
				q.Finish(at, id, true)
			}
			q.Offer(at, newCall("w1", "b", "high"))
			return q.Offer(at, newCall("w2", "b", "high"))
		}, []string{"refuse w2 overloaded not_run"}},
		{"no endpoint", func(q *Queue) []core.Action {
			q.SetRunners(t0, nil)
			return q.Offer(t0, newCall("1", "a", "low"))
		}, []string{"refuse 1 no_endpoint not_run"}},
		{"prompt larger than any endpoint", func(q *Queue) []core.Action {
			c := newCall("1", "a", "low")
			c.PromptTokens = 10_000
			return q.Offer(t0, c)
		}, []string{"refuse 1 bad_request not_run"}},
		{"repeated id", func(q *Queue) []core.Action {
			q.Offer(t0, newCall("1", "a", "low"))
			return q.Offer(t0, newCall("1", "a", "low"))
		}, []string{"refuse 1 bad_request not_run"}},
		{"cancelled calls don't start", func(q *Queue) []core.Action {
			q.Offer(t0, newCall("1", "a", "low"))
			q.Offer(t0, newCall("2", "a", "low"))
			q.Cancel(t0, "2")
			return q.Finish(t0, "1", false)
		}, []string{}},
		{"adopted calls occupy a slot", func(q *Queue) []core.Action {
			q.Adopt(t0, newCall("1", "a", "low"), "e0", 50)
			return q.Offer(t0, newCall("2", "a", "low"))
		}, []string{}},
		{"a leaving endpoint gets no calls", func(q *Queue) []core.Action {
			rs := runners(1, 10_000)
			rs[0].Accepting = false
			q.SetRunners(t0, rs)
			return q.Offer(t0, newCall("1", "a", "low"))
		}, []string{}},
		{"time without an accepting endpoint does not count as slow starts", func(q *Queue) []core.Action {
			q.SetRunners(t0, []core.RunnerInfo{{ID: "e0"}}) // not reported yet
			for i := range 4 {
				q.Offer(t0, newCall(fmt.Sprint(i), "a", "high"))
			}
			later := t0.Add(3 * time.Second)
			q.SetRunners(later, runners(1, 10_000))
			for i := range 2 {
				q.Finish(later, core.RequestID(fmt.Sprint(i)), true)
			}
			return q.Offer(later, newCall("new", "a", "high"))
		}, []string{}},
		{"a call that another owner had queued is not refused for its expected wait", func(q *Queue) []core.Action {
			return q.Offer(slowStarts(q, "high"), previouslyQueuedCall("handed over", "high"))
		}, []string{}},
		{"a new call is refused for the same expected wait", func(q *Queue) []core.Action {
			return q.Offer(slowStarts(q, "high"), newCall("new", "a", "high"))
		}, []string{"refuse new overloaded not_run"}},
		{"below the top rank a long expected wait neither refuses a call nor counts as shedding", func(q *Queue) []core.Action {
			now := slowStarts(q, "low")
			acts := q.Offer(now, newCall("new", "b", "low"))
			if l := q.Load(now).Ranks[1]; l.ExpectedWait <= time.Second || l.Shedding {
				return nil
			}
			acts = append(acts, q.Finish(now, "4", true)...)
			return append(acts, q.Finish(now, "5", true)...)
		}, []string{"start 5", "start new"}},
		{"two ranks that share the top priority both refuse by expected wait", func(q *Queue) []core.Action {
			now := slowStarts(q, "low")
			rs := rules()
			rs.Ranks[0].Priority, rs.Ranks[0].FirstTokenTarget = rs.Ranks[1].Priority, time.Second
			q.SetRules(now, rs)
			return q.Offer(now, newCall("new", "b", "low"))
		}, []string{"refuse new overloaded not_run"}},
		{"below the top rank a call that has waited longer than the target is refused", func(q *Queue) []core.Action {
			now := slowStarts(q, "low")
			q.Offer(now, newCall("new", "b", "low"))
			return q.Tick(now.Add(1001 * time.Millisecond))
		}, []string{"refuse 5 overloaded not_run", "refuse new overloaded not_run"}},
		{"below the top rank a call is refused when its expected wait exceeds its deadline", func(q *Queue) []core.Action {
			now := slowStarts(q, "low")
			c := newCall("new", "b", "low")
			c.Deadline = now.Add(500 * time.Millisecond)
			return q.Offer(now, c)
		}, []string{"refuse new overloaded not_run"}},
		{"a call that another owner had queued waits beyond the target", func(q *Queue) []core.Action {
			q.Offer(t0, newCall("1", "a", "high"))
			q.Offer(t0, previouslyQueuedCall("handed over", "high"))
			return q.Tick(t0.Add(time.Minute))
		}, []string{}},
		{"a call that another owner had queued ends at its deadline", func(q *Queue) []core.Action {
			q.Offer(t0, newCall("1", "a", "high"))
			c := previouslyQueuedCall("handed over", "high")
			c.Deadline = second
			q.Offer(t0, c)
			return q.Tick(second)
		}, []string{"refuse handed over deadline not_run"}},
		{"a full queue takes calls that another owner had queued and sheds none of them", func(q *Queue) []core.Action {
			for i := range 5 { // one runs, four wait
				q.Offer(t0, newCall(fmt.Sprint(i), "a", "low"))
			}
			var acts []core.Action
			for i := range 10 {
				acts = append(acts, q.Offer(t0, previouslyQueuedCall(fmt.Sprint("h", i), "low"))...)
			}
			return append(acts, q.Offer(t0, newCall("new", "b", "low"))...)
		}, []string{"refuse 4 overloaded not_run"}},
		{"an arriving call is refused when a former owner had queued all others", func(q *Queue) []core.Action {
			q.Offer(t0, newCall("1", "a", "low"))
			for i := range 5 {
				q.Offer(t0, previouslyQueuedCall(fmt.Sprint("h", i), "low"))
			}
			return q.Offer(t0, newCall("new", "b", "low"))
		}, []string{"refuse new overloaded not_run"}},
		{"an endpoint that accepts again gets the waiting calls", func(q *Queue) []core.Action {
			rs := runners(1, 10_000)
			rs[0].Accepting = false
			q.SetRunners(t0, rs)
			q.Offer(t0, newCall("1", "a", "low"))
			return q.SetRunners(t0, runners(1, 10_000))
		}, []string{"start 1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(describe(tc.do(newSingleSlotQueue())), tc.want)
		})
	}
}

// Guards against a large team that takes all memory while other teams wait, and against memory that stays idle when no
// other team waits.
func TestTeamShare(t *testing.T) {
	is := is.New(t)
	q := New(WithTeamSharePercent(50), WithAdmitOptions(admit.WithPromptLimit(1000)))
	q.SetRules(t0, rules())
	q.SetRunners(t0, runners(1, 1000))
	big := func(id, team string) core.Call {
		c := newCall(id, team, "low")
		c.PromptTokens, c.MaxTokens = 250, 1
		return c
	}
	is.Equal(describe(q.Offer(t0, big("1", "a"))), []string{"start 1"})
	is.Equal(describe(q.Offer(t0, big("2", "a"))), []string{"start 2"})
	is.Equal(describe(q.Offer(t0, big("3", "a"))), []string{"start 3"}) // nobody else waits
	is.Equal(describe(q.Offer(t0, big("4", "a"))), []string{})          // memory is full
	is.Equal(describe(q.Offer(t0, big("5", "b"))), []string{})
	is.Equal(describe(q.Finish(t0, "1", true)), []string{"start 5"})
	is.Equal(describe(q.Finish(t0, "2", true)), []string{"start 4"})
}

// Guards against starvation of a large waiting call by smaller calls that keep taking the memory it needs.
func TestLargeCallIsNotStarved(t *testing.T) {
	is := is.New(t)
	q := New(WithTeamSharePercent(100), WithAdmitOptions(admit.WithPromptLimit(1000)))
	q.SetRules(t0, rules())
	q.SetRunners(t0, runners(1, 1000))
	q.Offer(t0, core.Call{ID: "1", Team: "a", Rank: "high", PromptTokens: 500, MaxTokens: 1})
	is.Equal(len(q.Offer(t0, core.Call{ID: "large", Team: "b", Rank: "high", PromptTokens: 600, MaxTokens: 1})), 0)
	is.Equal(len(q.Offer(t0, core.Call{ID: "small", Team: "c", Rank: "high", PromptTokens: 10, MaxTokens: 1})), 0)
	is.Equal(describe(q.Finish(t0, "1", true)), []string{"start large", "start small"})
}

// Guards against refused clients that all retry at the same time, and against a rank that counts as shedding because of
// one large team.
func TestRefusalAndLoad(t *testing.T) {
	is := is.New(t)
	q := newSingleSlotQueue()
	q.Offer(t0, newCall("r", "a", "low"))
	after := map[time.Duration]bool{}
	for i := range 40 {
		for _, a := range q.Offer(t0, newCall(fmt.Sprint(i), "a", "low")) {
			is.True(a.Err.RetryAfter >= minRetryAfter && a.Err.RetryAfter <= maxRetryAfter*3/2)
			is.True(a.Err.Remedy != "")
			after[a.Err.RetryAfter] = true
		}
	}
	is.True(len(after) > 20)
	l := q.Load(t0)
	is.Equal(l.Ranks[1], core.RankLoad{Rank: "low", Waiting: 4})
	for i, team := range []string{"b", "c", "d", "e"} {
		q.Offer(t0, newCall(fmt.Sprint("x", i), team, "low"))
	}
	is.True(q.Load(t0).Ranks[1].Shedding) // four teams with one call each fill the queue
}

// Guards against calls that are refused because they waited too long for an endpoint where they delay streams less.
func TestWaitForLeastStallEndsBeforeTheLimit(t *testing.T) {
	is := is.New(t)
	q := newSingleSlotQueue()
	r := q.rankFor("high")
	c := &call{Call: newCall("1", "a", "high"), arrived: t0}
	is.True(q.mayWait(t0, r, c))
	is.True(!q.mayWait(t0.Add(maxStallWait), r, c))
	c.Deadline = t0.Add(maxStallWait)
	is.True(q.mayWait(t0, r, c))
	is.True(!q.mayWait(t0.Add(maxStallWait/2), r, c))
}

// Guards against a long call that keeps its team behind all others for minutes, and against tokens that are not charged.
func TestUnexpectedTokensDecay(t *testing.T) {
	for _, tc := range []struct {
		name           string
		age            time.Duration
		more, expected core.Tokens
		want           float64
	}{
		{"expected tokens count in full", time.Hour, 10, 10, 10},
		{"unexpected tokens count in full at the start", 0, 10, 4, 10},
		{"unexpected tokens count half after the half-life", excessHalfLife, 10, 4, 7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := &call{started: t0}
			is.Equal(c.teamCost(t0.Add(tc.age), tc.more, tc.expected), tc.want)
		})
	}
}
