package batch_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/stand/batch"
)

var start = time.Unix(1_800_000_000, 0)

// runUntilIdle steps the engine until it has no work, and checks its memory accounting after each step.
func runUntilIdle(t *testing.T, b *batch.Engine) (events []batch.Event) {
	t.Helper()
	for range 1_000_000 {
		next, ok := b.Next()
		if !ok {
			return events
		}
		events = append(events, b.Step(next)...)
		if l := b.Load(); l.KVUsed+l.Cached > l.KVCapacity || l.KVUsed < 0 {
			t.Fatalf("memory accounting is wrong: %+v", l)
		}
	}
	t.Fatal("engine still has work after 1,000,000 steps")
	return nil
}

// checkEvents fails unless each sequence has contiguous tokens and ends at most once. It returns the tokens and preemptions by ID.
func checkEvents(t *testing.T, events []batch.Event) (tokens map[core.GenerationID]core.Tokens, preempted map[core.GenerationID]int) {
	t.Helper()
	tokens, preempted = map[core.GenerationID]core.Tokens{}, map[core.GenerationID]int{}
	done := map[core.GenerationID]bool{}
	var last time.Time
	for _, e := range events {
		if e.At.Before(last) || done[e.ID] {
			t.Fatalf("event out of order or after the end: %+v", e)
		}
		last = e.At
		switch e.Kind {
		case batch.Token:
			if e.Index != tokens[e.ID] {
				t.Fatalf("token %d of %s follows %d tokens", e.Index, e.ID, tokens[e.ID])
			}
			tokens[e.ID]++
		case batch.Preempted:
			preempted[e.ID]++
		case batch.Done:
			done[e.ID] = true
			if e.Index != tokens[e.ID] {
				t.Fatalf("%s ended after %d of %d tokens", e.ID, tokens[e.ID], e.Index)
			}
		}
	}
	return tokens, preempted
}

func TestScenarios(t *testing.T) {
	small := batch.Config{KVCapacity: 1000, WatermarkPercent: -1, CacheTokens: -1}
	for _, tc := range []struct {
		name      string
		guards    string
		cfg       batch.Config
		reqs      []batch.Request
		tokens    []core.Tokens
		preempted []int
	}{
		{
			"output given", "a wrong output length", small,
			[]batch.Request{{PromptTokens: 10, OutputTokens: 7}},
			[]core.Tokens{7},
			[]int{0},
		},
		{
			"output cut off by max_tokens", "max_tokens being ignored", small,
			[]batch.Request{{PromptTokens: 10, OutputTokens: 70, MaxTokens: 5}},
			[]core.Tokens{5},
			[]int{0},
		},
		{
			"memory fills in mid-decode", "a preemption of the sequence with the higher priority", small,
			[]batch.Request{{PromptTokens: 300, OutputTokens: 300, Priority: 1}, {PromptTokens: 300, OutputTokens: 300, Priority: 2}},
			[]core.Tokens{300, 300},
			[]int{1, 0},
		},
		{
			"equal priority", "a preemption of the older of two sequences", small,
			[]batch.Request{{PromptTokens: 300, OutputTokens: 300}, {PromptTokens: 300, OutputTokens: 300}},
			[]core.Tokens{300, 300},
			[]int{0, 1},
		},
		{
			"output exceeds the whole memory", "a sequence that never ends", small,
			[]batch.Request{{PromptTokens: 900, OutputTokens: 300}},
			[]core.Tokens{101},
			[]int{0},
		},
		{
			"more sequences than tokens in a step", "a sequence whose prompt is never computed",
			batch.Config{MaxStepTokens: 2},
			[]batch.Request{{PromptTokens: 3, OutputTokens: 40}, {PromptTokens: 3, OutputTokens: 40}, {PromptTokens: 3, OutputTokens: 40}, {PromptTokens: 3, OutputTokens: 4}},
			[]core.Tokens{40, 40, 40, 4},
			[]int{0, 0, 0, 0},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			t.Log("guards against " + tc.guards)
			b := batch.New(tc.cfg)
			for i, r := range tc.reqs {
				r.ID = core.GenerationID(fmt.Sprint(i))
				is.NoErr(b.Add(start, r))
			}
			tokens, preempted := checkEvents(t, runUntilIdle(t, b))
			for i := range tc.reqs {
				id := core.GenerationID(fmt.Sprint(i))
				is.Equal(tokens[id], tc.tokens[i])
				is.Equal(preempted[id], tc.preempted[i])
			}
			is.Equal(b.Load().KVUsed, core.Tokens(0)) // no memory leak
		})
	}
}

// Guards against a high-priority sequence that waits for memory held by one of lower priority.
func TestUrgentArrivalPreempts(t *testing.T) {
	is := is.New(t)
	for _, on := range []bool{false, true} {
		b := batch.New(batch.Config{KVCapacity: 1000, CacheTokens: -1, PreemptForUrgent: on})
		is.NoErr(b.Add(start, batch.Request{ID: "slow", PromptTokens: 800, OutputTokens: 150}))
		events := b.Step(start.Add(200 * time.Millisecond))
		is.NoErr(b.Add(start.Add(200*time.Millisecond), batch.Request{ID: "urgent", PromptTokens: 300, OutputTokens: 5, Priority: 9}))
		tokens, preempted := checkEvents(t, append(events, runUntilIdle(t, b)...))
		is.Equal(tokens["slow"], core.Tokens(150))
		is.Equal(tokens["urgent"], core.Tokens(5))
		is.Equal(preempted["slow"] == 1, on)
		is.Equal(b.Load().Recomputed > 800, on)
	}
}

// Guards against a prefix cache that never hits, never evicts, or keeps memory that sequences need.
func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	prompt := strings.Repeat("swap a house in Tartu. ", 60)
	other := strings.Repeat("repaint a coach in Oita.", 60)
	run := func(b *batch.Engine, id, prompt string) (cached core.Tokens) {
		is.NoErr(b.Add(start, batch.Request{
			ID: core.GenerationID(id), PromptTokens: batch.PromptTokens(prompt),
			Prefixes: batch.PrefixHashes(prompt, b.Config().BlockTokens), OutputTokens: 3,
		}))
		for _, e := range runUntilIdle(t, b) {
			if e.Kind == batch.Started {
				cached = e.Cached
			}
		}
		return cached
	}
	b := batch.New(batch.Config{KVCapacity: 1000, CacheTokens: 500})
	is.Equal(run(b, "a", prompt), core.Tokens(0))
	is.Equal(run(b, "b", prompt+"more"), core.Tokens(336)) // 345 tokens hold 21 full blocks
	is.Equal(run(b, "c", other), core.Tokens(0))           // evicts the last blocks of the first prompt
	is.True(b.Load().Cached <= 500)
	is.Equal(run(b, "d", prompt), core.Tokens(144)) // 9 blocks remain next to 22 of the other prompt
}

// Guards against memory leaks, lost tokens and nondeterminism, with cancellations at random.
func TestRandomRunsAreDeterministic(t *testing.T) {
	for seed := range uint64(10) {
		run := func() []batch.Event {
			r := rand.New(rand.NewPCG(seed, 1))
			b := batch.New(batch.Config{KVCapacity: 4000, PreemptForUrgent: seed%2 == 0, MaxRunning: 12, MaxStepTokens: core.Tokens(8 + 100*seed)})
			var events []batch.Event
			now := start
			for i := range 80 {
				now = now.Add(time.Duration(r.IntN(200)) * time.Millisecond)
				events = append(events, b.Step(now)...)
				p := strings.Repeat(fmt.Sprintf("shared %d ", r.IntN(5)), 1+r.IntN(400))
				req := batch.Request{
					ID: core.GenerationID(fmt.Sprint(i)), PromptTokens: batch.PromptTokens(p), Prefixes: batch.PrefixHashes(p, 16),
					Seed: r.Int64(), MaxTokens: core.Tokens(1 + r.IntN(800)), Priority: int64(r.IntN(3)),
				}
				if err := b.Add(now, req); err != nil {
					t.Fatal(err)
				}
				if r.IntN(10) == 0 {
					b.Cancel(core.GenerationID(fmt.Sprint(r.IntN(i + 1))))
				}
			}
			events = append(events, runUntilIdle(t, b)...)
			if l := b.Load(); l.KVUsed != 0 || l.Running != 0 || l.Waiting != 0 || l.Preemptions == 0 {
				t.Fatalf("idle engine still holds memory, or never preempted: %+v", l)
			}
			return events
		}
		first := run()
		checkEvents(t, first)
		if !reflect.DeepEqual(first, run()) {
			t.Fatalf("seed %d: two runs with the same input differ", seed)
		}
	}
}
