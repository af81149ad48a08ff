package action

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/claim"
)

// clientCall is one client call, made after a wait that begins when the previous call has been answered.
type clientCall struct {
	instance int
	wait     time.Duration
	timeout  time.Duration
	body     string
	want     string
}

const (
	ran            = "ran b"
	replayed       = "ran b replayed"
	unknown        = "outcome_unknown/unknown"
	inProgress     = "in_progress/unknown"
	deadlinePassed = "deadline/not_run"
	storeIsDown    = "store_down/not_run"
)

// Guards against an action that runs twice, and against a reply or a record that does not match what happened.
func TestProtected(t *testing.T) {
	second := time.Second
	tests := []struct {
		name string
		// puts and gets are the faults of store calls, calls those of calls to the endpoint.
		puts, gets, calls []fault
		// From down[0] to down[1] after the start, store calls beyond the scripted ones get effect.
		down   [2]time.Duration
		effect effect
		steps  []clientCall
		// Unless state is set, the action must have run once and be recorded as done when all background work has ended;
		// if nputs is set, it is the expected number of writes.
		runs  int
		state claim.State
		nputs int
	}{
		{
			name: "no fault: two writes, one run", steps: []clientCall{{want: ran}}, nputs: 2,
		},
		{
			name:  "retry reaches another instance",
			steps: []clientCall{{want: ran}, {instance: 1, want: replayed}}, nputs: 3,
		},
		{
			name:  "same key with another payload",
			steps: []clientCall{{want: ran}, {instance: 1, body: "other", want: "key_reused/not_run"}, {want: replayed}},
		},
		{
			name: "claim's answer lost after its effect",
			puts: []fault{{effect: answerLost}}, steps: []clientCall{{want: ran}, {instance: 1, want: replayed}},
		},
		{
			name: "claim's answer lost, effect after the read back",
			puts: []fault{{effect: delayedEffect, wait: second / 2}}, steps: []clientCall{{want: ran}, {wait: second, instance: 1, want: replayed}},
		},
		{
			name: "claim's answer lost, effect between the read back and the second write",
			puts: []fault{{effect: delayedEffect, wait: 30 * time.Millisecond}, {effect: slow, wait: second}}, steps: []clientCall{{want: ran}},
		},
		{
			name: "claim's answer lost and store unreadable past the deadline, effect after that",
			puts: []fault{{effect: delayedEffect, wait: 3 * second}}, down: [2]time.Duration{0, 10 * second}, effect: refused,
			steps: []clientCall{{timeout: second, want: unknown}, {wait: 20 * second, instance: 1, want: ran}, {want: replayed}},
		},
		{
			name: "claim without effect and answer lost, store unreadable past the deadline",
			puts: []fault{{effect: requestLost}}, down: [2]time.Duration{0, 10 * second}, effect: refused,
			steps: []clientCall{{timeout: second, want: unknown}, {wait: 20 * second, instance: 1, want: ran}},
		},
		{
			name: "store known to be down at the claim",
			puts: []fault{{effect: refused}}, steps: []clientCall{{want: storeIsDown}, {instance: 1, want: ran}},
		},
		{
			name: "slow store: claim accepted after a second",
			puts: []fault{{effect: slow, wait: second}}, steps: []clientCall{{want: ran}}, nputs: 2,
		},
		{
			name: "slow store: claim takes longer than the store's time limit",
			puts: []fault{{effect: slow, wait: 5 * second}}, steps: []clientCall{{want: ran}},
		},
		{
			name: "holder paused between claim and send past its deadline",
			puts: []fault{{effect: callerPaused, wait: 5 * second}}, steps: []clientCall{{timeout: second, want: deadlinePassed}, {instance: 1, want: ran}},
		},
		{
			name: "paused past the deadline, and the answer of not_run lost",
			puts: []fault{{effect: callerPaused, wait: 5 * second}, {effect: answerLost}}, steps: []clientCall{{timeout: second, want: deadlinePassed}, {instance: 1, want: ran}},
		},
		{
			name: "paused past the deadline, and not_run without effect until the store is back",
			puts: []fault{{effect: callerPaused, wait: 5 * second}}, down: [2]time.Duration{second, 20 * second}, effect: requestLost,
			steps: []clientCall{{timeout: second, want: unknown}, {instance: 1, timeout: second, want: unknown}, {wait: 40 * second, instance: 1, want: ran}},
		},
		{
			name:  "endpoint refuses the connection",
			calls: []fault{{effect: refused}, {effect: refused}}, steps: []clientCall{{want: "no_endpoint/not_run"}, {instance: 1, want: ran}},
		},
		{
			name:  "one endpoint refuses the connection, another accepts it",
			calls: []fault{{effect: refused}}, steps: []clientCall{{want: ran}}, nputs: 2,
		},
		{
			name:  "endpoint refuses the connection and the store is down for not_run",
			calls: []fault{{effect: refused}, {effect: refused}},
			puts:  []fault{{}}, down: [2]time.Duration{0, 20 * second}, effect: refused,
			steps: []clientCall{{timeout: 2 * second, want: unknown}, {wait: 40 * second, instance: 1, want: ran}},
		},
		{
			name:  "endpoint runs the action and its answer is lost",
			calls: []fault{{effect: answerLost}},
			steps: []clientCall{{timeout: 2 * second, want: unknown}, {instance: 1, want: inProgress}, {wait: 3 * second, instance: 1, want: unknown}},
			runs:  1, state: claim.StateClaimed, nputs: 3,
		},
		{
			name: "connection silent after the call was sent", calls: []fault{{effect: silentConn}},
			steps: []clientCall{{want: unknown}, {instance: 1, want: inProgress}, {wait: 11 * second, instance: 1, want: unknown}},
			runs:  0, state: claim.StateClaimed,
		},
		{
			name:  "answer lost before the action ran",
			calls: []fault{{effect: requestLost}}, steps: []clientCall{{timeout: second, want: unknown}, {wait: 2 * second, instance: 1, want: unknown}},
			runs: 0, state: claim.StateClaimed,
		},
		{
			name:  "answer comes after the deadline and is recorded",
			calls: []fault{{effect: slow, wait: 3 * second}}, steps: []clientCall{{timeout: second, want: unknown}, {wait: 4 * second, instance: 1, want: replayed}},
			runs: 1, state: claim.StateDone, nputs: 3,
		},
		{
			name: "result's answer lost after its effect",
			puts: []fault{{}, {effect: answerLost}}, steps: []clientCall{{want: ran}, {wait: second, instance: 1, want: replayed}},
		},
		{
			name: "store down when the result is recorded",
			puts: []fault{{}}, down: [2]time.Duration{0, 20 * second}, effect: refused,
			steps: []clientCall{{timeout: 5 * second, want: ran}, {instance: 1, want: storeIsDown}, {wait: 40 * second, instance: 1, want: replayed}},
		},
		{
			name: "lost claim answer and lost endpoint answer",
			puts: []fault{{effect: answerLost}}, calls: []fault{{effect: answerLost}},
			steps: []clientCall{{timeout: second, want: unknown}, {wait: 2 * second, instance: 1, want: unknown}}, runs: 1, state: claim.StateClaimed,
		},
		{
			name: "uncertain claim is replaced by not_run before it takes effect",
			puts: []fault{{effect: delayedEffect, wait: 30 * second}}, down: [2]time.Duration{0, 10 * second}, effect: refused,
			steps: []clientCall{{timeout: second, want: unknown}, {wait: 40 * second, instance: 1, want: ran}},
		},
		{
			name:  "claim after not_run is uncertain, then a write has no effect",
			calls: repeated(2, fault{effect: refused}), puts: []fault{{}, {}, {}, {effect: delayedEffect, wait: 3 * second}, {effect: refused}},
			steps: []clientCall{{want: "no_endpoint/not_run"}, {instance: 1, want: ran}},
		},
		{
			name:  "transport that does not report whether it connected",
			calls: []fault{{effect: noTraceHooks}}, steps: []clientCall{{timeout: second, want: unknown}}, runs: 0, state: claim.StateClaimed,
		},
		{
			name:  "two attempts end as not_run, the third runs",
			calls: repeated(4, fault{effect: refused}), steps: []clientCall{
				{want: "no_endpoint/not_run"},
				{instance: 1, want: "no_endpoint/not_run"},
				{want: ran},
			},
		},
		{
			name:  "claim after not_run: its answer lost, effect late, not_run recorded in its place",
			calls: repeated(2, fault{effect: refused}), puts: []fault{{}, {}, {}, {effect: delayedEffect, wait: 30 * second}},
			gets: []fault{{}}, down: [2]time.Duration{0, 10 * second}, effect: refused,
			steps: []clientCall{{want: "no_endpoint/not_run"}, {instance: 1, timeout: second, want: unknown}, {wait: 40 * second, want: ran}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t) // background work must end before a failure is reported
				cl := newCluster(2, "10.0.0.1:1", "10.0.0.2:1")
				cl.store.putFaults, cl.store.getFaults, cl.endpoint.faults = tt.puts, tt.gets, tt.calls
				now := time.Now()
				cl.store.outage = outage{from: now.Add(tt.down[0]), until: now.Add(tt.down[1]), effect: tt.effect}
				for _, s := range tt.steps {
					time.Sleep(s.wait)
					if s.timeout == 0 {
						s.timeout = 10 * time.Second
					}
					if s.body == "" {
						s.body = "b"
					}
					is.Equal(cl.call(s.instance, "POST", "/confirm/7", "k", s.body, s.timeout), s.want)
				}
				is.NoErr(cl.close(time.Hour))
				if tt.state == "" {
					tt.runs, tt.state = 1, claim.StateDone
				}
				is.Equal(cl.endpoint.runs["k"], tt.runs)
				is.True(cl.endpoint.sends["k"] <= 1)
				is.True(cl.endpoint.sends["k"] == 0 || cl.endpoint.fencing["k"] != "") // for endpoints that check it
				is.Equal(cl.record("k").State, tt.state)
				if tt.nputs != 0 {
					is.Equal(cl.store.putCount(), tt.nputs)
				}
			})
		})
	}
}

func repeated(n int, f fault) []fault {
	list := make([]fault, n)
	for i := range list {
		list[i] = f
	}
	return list
}

// Guards against two runs when two instances claim the same key at the same time.
func TestTwoInstancesAtOnce(t *testing.T) {
	tests := []struct {
		name string
		puts []fault
		want [2]string
	}{
		{name: "no fault", want: [2]string{ran, inProgress}},
		{name: "both claims' answers lost", puts: []fault{{effect: answerLost}, {effect: answerLost}}, want: [2]string{ran, inProgress}},
		{name: "the first holder is paused", puts: []fault{{effect: callerPaused, wait: time.Second}}, want: [2]string{ran, inProgress}},
		{name: "the first claim takes effect late", puts: []fault{{effect: delayedEffect, wait: time.Second / 2}}, want: [2]string{inProgress, ran}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				cl := newCluster(2, "10.0.0.1:1")
				cl.store.putFaults, cl.endpoint.rule = tt.puts, func() fault { return fault{effect: slow, wait: time.Second} }
				var got [2]string
				done := make(chan struct{})
				go func() {
					got[0] = cl.call(0, "POST", "/confirm", "k", "b", 10*time.Second)
					close(done)
				}()
				synctest.Wait()
				got[1] = cl.call(1, "POST", "/confirm", "k", "b", 10*time.Second)
				<-done
				is.Equal(got, tt.want)
				is.NoErr(cl.close(time.Hour))
				is.Equal(cl.endpoint.runs["k"], 1)
			})
		})
	}
}

// Guards against a shutdown that cuts off calls or waits for a store that is down, and against a wrong outcome reported to
// this client or a later one because the record was abandoned.
func TestClose(t *testing.T) {
	const second, grace = time.Second, 30 * time.Second
	tests := []struct {
		name          string
		endpointFault fault // at the endpoint
		// outage is how long the store is down, beginning after the claim's write; timeout is that of the call.
		outage, timeout time.Duration
		gone            bool          // whether the client disconnects after a second
		limit           time.Duration // of the shutdown, which begins a second after the call
		first           string
		least, most     time.Duration // of the shutdown
		ok              bool
		state           claim.State
		later           string // reply of another instance after the outage
	}{
		{name: "not_run is recorded after an outage", endpointFault: fault{effect: refused}, outage: 20 * second, timeout: 2 * second, limit: time.Hour, first: unknown, most: 32 * second, ok: true, state: claim.StateNotRun, later: ran},
		{name: "record of not_run is abandoned", endpointFault: fault{effect: refused}, outage: time.Hour, timeout: 2 * second, limit: time.Hour, first: unknown, least: grace, most: 33 * second, state: claim.StateClaimed, later: unknown},
		{name: "record of not_run is abandoned at the limit", endpointFault: fault{effect: refused}, outage: time.Hour, timeout: 2 * second, limit: 5 * second, first: unknown, most: 5 * second, state: claim.StateClaimed, later: unknown},
		{name: "result is recorded after an outage", outage: 20 * second, timeout: 2 * second, limit: time.Hour, first: ran, most: 32 * second, ok: true, state: claim.StateDone, later: replayed},
		{name: "record of the result is abandoned", outage: time.Hour, timeout: 2 * second, limit: time.Hour, first: ran, least: grace, most: 33 * second, state: claim.StateClaimed, later: unknown},
		{name: "endpoint answers long after the shutdown began", endpointFault: fault{effect: slow, wait: 90 * second}, timeout: 100 * second, limit: time.Hour, first: ran, least: 88 * second, most: 90 * second, ok: true, state: claim.StateDone, later: replayed},
		{name: "endpoint answers long after the shutdown began, client disconnected", endpointFault: fault{effect: slow, wait: 90 * second}, timeout: 100 * second, gone: true, limit: time.Hour, first: unknown, least: 88 * second, most: 90 * second, ok: true, state: claim.StateDone, later: replayed},
		{name: "endpoint answers long after the shutdown began, client disconnected, store down", endpointFault: fault{effect: slow, wait: 90 * second}, outage: time.Hour, timeout: 100 * second, gone: true, limit: time.Hour, first: unknown, least: 89*second + grace, most: 92*second + grace, state: claim.StateClaimed, later: unknown},
		{name: "a client that waits for its deadline is not cut off", endpointFault: fault{effect: refused}, outage: time.Hour, timeout: 100 * second, limit: time.Hour, first: unknown, least: 98 * second, most: 102 * second, state: claim.StateClaimed, later: unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				cl := newCluster(2, "10.0.0.1:1")
				cl.store.putFaults, cl.endpoint.faults = []fault{{}}, []fault{tt.endpointFault}
				cl.store.outage = outage{from: time.Now(), until: time.Now().Add(tt.outage), effect: refused}
				first := make(chan string, 1)
				go func() {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					if tt.gone {
						time.AfterFunc(second, cancel)
					}
					first <- cl.callWith(ctx, 0, "POST", "/confirm", "k", "b", tt.timeout)
				}()
				time.Sleep(second)
				ctx, cancel := context.WithTimeout(t.Context(), tt.limit)
				defer cancel()
				began := time.Now()
				err := cl.instances[0].Close(ctx)
				took := time.Since(began)
				t.Logf("closed after %s: %v", took, err)
				is.Equal(<-first, tt.first)
				is.Equal(err == nil, tt.ok)
				is.True(took >= tt.least && took <= tt.most)
				is.Equal(cl.record("k").State, tt.state)
				is.Equal(cl.call(0, "POST", "/confirm", "other", "b", second), "leaving/not_run")
				time.Sleep(2 * time.Hour)
				is.Equal(cl.call(1, "POST", "/confirm", "k", "b", second), tt.later)
				is.True(cl.endpoint.runs["k"] <= 1)
				is.NoErr(cl.instances[1].Close(t.Context()))
			})
		})
	}
}

// Guards against an empty success for a canceled call; the action must continue and be recorded.
func TestCancelledCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		cl := newCluster(1, "10.0.0.1:1")
		cl.endpoint.faults = []fault{{effect: slow, wait: 2 * time.Second}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		r := httptest.NewRequestWithContext(ctx, "POST", "/services/swaps/confirm", strings.NewReader("b"))
		r.Header.Set(headerIdempotencyKey, "k")
		rec := httptest.NewRecorder()
		cl.instances[0].Serve(rec, r, "r1", core.Credential{Team: "tallinn"}, "swaps", "confirm")
		is.Equal(outcome(rec), unknown)
		time.Sleep(2 * time.Second)
		is.Equal(cl.call(0, "POST", "/confirm", "k", "b", time.Second), replayed)
		is.NoErr(cl.close(time.Minute))
	})
}

// Guards against running an action whose record this version cannot decode.
func TestMalformedRecord(t *testing.T) {
	is := is.New(t)
	cl := newCluster(1, "10.0.0.1:1")
	_, err := cl.store.Put(t.Context(), objectKey("swaps", "tallinn", "k"), []byte("{"), 0)
	is.NoErr(err)
	is.Equal(cl.call(0, "POST", "/confirm", "k", "b", time.Second), unknown)
	is.Equal(cl.endpoint.sends["k"], 0)
	is.NoErr(cl.close(time.Minute))
}
