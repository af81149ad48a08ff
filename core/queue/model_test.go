package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipeshed/core"
	"snipeshed/core/admit"
)

// model is a reference model of a pool owner's state that checks every action of a queue.
type model struct {
	queue   *Queue
	now     time.Time
	waiting map[core.RequestID]core.Call
	running map[core.RequestID]core.EndpointID
	tokens  map[core.RequestID]core.Tokens
	runners []core.RunnerInfo
	offered int
}

// apply updates the model with actions and fails on an invalid one.
func (m *model) apply(t *rapid.T, acts []core.Action) {
	for _, a := range acts {
		if _, ok := m.waiting[a.ID]; !ok {
			t.Fatalf("action on call %s, which is not waiting", a.ID)
		}
		delete(m.waiting, a.ID)
		if a.Kind == core.ActionRefuse {
			if a.Err.Execution != core.NotExecuted || a.Err.Message == "" || a.Err.Remedy == "" && a.Err.Kind != core.KindBadRequest {
				t.Fatalf("incomplete refusal %+v", a.Err)
			}
			continue
		}
		m.running[a.ID] = a.Endpoint
		for _, runner := range m.runners {
			if runner.ID == a.Endpoint && !runner.Accepting {
				t.Fatalf("call %s starts at %s, which accepts no calls", a.ID, a.Endpoint)
			}
		}
	}
}

// Guards against calls that are started or refused twice, lost calls, idle endpoints while calls wait, and queues above
// their limits.
func TestQueueModel(t *testing.T) {
	const limit, kv = 3, 3000
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			queue: New(WithTeamSharePercent(100), WithAdmitOptions(admit.WithRunningLimit(limit))), now: t0, runners: runners(3, kv),
			waiting: map[core.RequestID]core.Call{}, running: map[core.RequestID]core.EndpointID{}, tokens: map[core.RequestID]core.Tokens{},
		}
		m.queue.SetRules(t0, rules())
		m.apply(t, m.queue.SetRunners(t0, m.runners))
		pickRunning := func(t *rapid.T) core.RequestID {
			if len(m.running) == 0 {
				t.Skip("no call is running")
			}
			ids := make([]core.RequestID, 0, len(m.running))
			for i := range m.offered + 1 {
				if id := core.RequestID(fmt.Sprint(i)); m.running[id] != "" {
					ids = append(ids, id)
				}
			}
			return rapid.SampledFrom(ids).Draw(t, "call")
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				m.offered++
				c := core.Call{
					ID: core.RequestID(fmt.Sprint(m.offered)), Service: "s", Team: rapid.SampledFrom([]core.TeamName{"a", "b", "c"}).Draw(t, "team"),
					Rank:         rapid.SampledFrom([]core.RankName{"low", "high", "unknown"}).Draw(t, "rank"),
					PromptTokens: core.Tokens(rapid.IntRange(1, kv-1).Draw(t, "prompt")), MaxTokens: 500,
				}
				if rapid.Bool().Draw(t, "has a deadline") {
					c.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "deadline")) * time.Millisecond)
				}
				m.waiting[c.ID] = c
				m.apply(t, m.queue.Offer(m.now, c))
			},
			"token": func(t *rapid.T) {
				id := pickRunning(t)
				m.tokens[id] += core.Tokens(rapid.IntRange(1, 100).Draw(t, "tokens"))
				m.queue.RecordTokens(m.now, id, m.tokens[id])
			},
			"finish": func(t *rapid.T) {
				id := pickRunning(t)
				delete(m.running, id)
				m.apply(t, m.queue.Finish(m.now, id, rapid.Bool().Draw(t, "complete")))
			},
			"cancel": func(t *rapid.T) {
				id := core.RequestID(fmt.Sprint(rapid.IntRange(0, m.offered).Draw(t, "call")))
				delete(m.waiting, id)
				m.apply(t, m.queue.Cancel(m.now, id))
			},
			"runners": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.runners)-1).Draw(t, "endpoint")
				m.runners[i].Accepting = !m.runners[i].Accepting
				m.apply(t, m.queue.SetRunners(m.now, m.runners))
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				m.apply(t, m.queue.Tick(m.now))
				for id, c := range m.waiting {
					if !c.Deadline.IsZero() && !m.now.Before(c.Deadline) {
						t.Fatalf("call %s waits past its deadline", id)
					}
				}
			},
			"": func(t *rapid.T) { m.check(t, limit) },
		})
	})
}

// check compares the queue with the model.
func (m *model) check(t *rapid.T, limit int) {
	if len(m.queue.waiting) != len(m.waiting) || len(m.queue.running) != len(m.running) {
		t.Fatalf("queue has %d waiting and %d running calls, the model %d and %d",
			len(m.queue.waiting), len(m.queue.running), len(m.waiting), len(m.running))
	}
	perEndpoint, perRank := map[core.EndpointID]int{}, map[core.RankName]int{}
	for _, ep := range m.running {
		perEndpoint[ep]++
	}
	for _, c := range m.waiting {
		perRank[c.Rank]++
	}
	for _, runner := range m.runners {
		if perEndpoint[runner.ID] > limit {
			t.Fatalf("%s runs %d calls, more than its limit", runner.ID, perEndpoint[runner.ID])
		}
		if runner.Accepting && perEndpoint[runner.ID] == 0 && len(m.waiting) > 0 {
			t.Fatalf("%s is idle while %d calls wait", runner.ID, len(m.waiting))
		}
	}
	for _, l := range m.queue.Load(m.now).Ranks {
		if l.Waiting != perRank[l.Rank] || l.Waiting > m.queue.ranks[l.Rank].queueLimit() {
			t.Fatalf("rank %s has %d waiting calls, the model %d", l.Rank, l.Waiting, perRank[l.Rank])
		}
	}
}
