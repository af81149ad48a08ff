package order_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/order"
)

const reportLag = time.Second

var start = time.Unix(1_700_000_000, 0)

func wanted(n core.TicketNumber, version, role string) core.RunnerOrder {
	return core.RunnerOrder{Number: n, Model: "m", Version: version, Role: role}
}

func report(n core.TicketNumber, model core.ModelName, version, role string) core.RunnerLoad {
	return core.RunnerLoad{OrderNumber: n, Model: model, Version: version, Role: role}
}

func newOrder() *order.Order {
	return order.New(order.WithReportLag(reportLag), order.WithBackoff(time.Second, 8*time.Second), order.WithSlotRetry(2*time.Second),
		order.WithLoadTimeout(time.Minute), order.WithRandom(func() float64 { return 0.5 }))
}

// event is an input to an Order at a point in time.
type event func(o *order.Order, now time.Time)

func want(n core.TicketNumber, version, role string, checks bool) event {
	return func(o *order.Order, _ time.Time) { o.SetWanted(wanted(n, version, role), checks) }
}

func reports(n core.TicketNumber, model core.ModelName, version, role string) event {
	return func(o *order.Order, now time.Time) { o.Report(now, report(n, model, version, role)) }
}

func grant(o *order.Order, now time.Time)      { o.SlotGranted(now.Add(time.Hour)) }
func shortGrant(o *order.Order, now time.Time) { o.SlotGranted(now.Add(500 * time.Millisecond)) }
func deny(o *order.Order, now time.Time)       { o.SlotDenied(now) }
func released(o *order.Order, _ time.Time)     { o.SlotReleased() }
func unreachable(o *order.Order, _ time.Time)  { o.Unreachable() }
func sending(o *order.Order, now time.Time)    { o.Sending(o.Next(now)) }
func sent(r order.Result) event {
	return func(o *order.Order, now time.Time) {
		o.Sending(o.Next(now))
		o.Outcome(now, r)
	}
}

type caseStep struct {
	at       time.Duration
	event    event
	wantNext order.Kind
}

// Guards against orders that are not sent, are sent too often, or start a load without a slot.
func TestNext(t *testing.T) {
	const s = time.Second
	for name, steps := range map[string][]caseStep{
		"no order without report": {{0, want(1, "1", "a", true), order.Nothing}},
		"wanted state is left alone": {
			{0, want(1, "1", "a", true), order.Nothing},
			{0, reports(1, "m", "1", "a"), order.Nothing},
		},
		"load acquires a slot, is sent once and releases the slot": {
			{0, want(2, "2", "a", true), order.Nothing},
			{0, reports(1, "m", "1", "a"), order.AcquireSlot},
			{0, grant, order.Send},
			{0, sent(order.Accepted), order.Nothing},
			{s / 2, reports(1, "m", "1", "a"), order.Nothing},
			{s + s/2, reports(2, "", "2", "a"), order.Wait},
			{50 * s, reports(2, "m", "2", "a"), order.ReleaseSlot},
			{50 * s, released, order.Nothing},
		},
		"slot is not requested again after a report from before the denial, since another owner may have loaded the model": {
			{0, want(2, "2", "a", true), order.Nothing},
			{0, reports(1, "m", "1", "a"), order.AcquireSlot},
			{0, deny, order.Wait},
			{s / 2, reports(1, "m", "1", "a"), order.Wait}, // may show the state before the denial
			{3 * s, func(*order.Order, time.Time) {}, order.Nothing},
			{3 * s, reports(1, "m", "1", "a"), order.AcquireSlot},
			{3 * s, deny, order.Wait},
			{6 * s, reports(2, "m", "2", "a"), order.Nothing},
		},
		"outdated report does not count as a deviation": {
			{0, want(2, "1", "b", true), order.Nothing},
			{0, reports(1, "m", "1", "a"), order.Send},
			{0, sent(order.Accepted), order.Nothing},
			{s - 1, reports(1, "m", "1", "a"), order.Nothing},
			{s, unreachable, order.Nothing},
			{s, reports(1, "m", "1", "a"), order.Send},
		},
		"older ticket is ignored": {
			{0, want(5, "1", "a", true), order.Nothing},
			{0, want(4, "2", "a", true), order.Nothing},
			{0, reports(5, "m", "1", "a"), order.Nothing},
		},
		"change of role needs no slot": {
			{0, want(2, "1", "b", true), order.Nothing},
			{0, reports(1, "m", "1", "a"), order.Send},
		},
		"delayed order of another owner is corrected at once": {
			{0, want(5, "1", "a", false), order.Nothing},
			{0, reports(5, "m", "1", "a"), order.Nothing},
			{2 * s, reports(3, "m", "1", "old"), order.Send},
			{2 * s, sent(order.Accepted), order.Nothing},
			{4 * s, reports(3, "m", "1", "old"), order.Send},
		},
		"order without effect is repeated with backoff": {
			{0, want(5, "1", "b", false), order.Nothing},
			{0, reports(0, "m", "1", "a"), order.Send},
			{0, sent(order.Accepted), order.Nothing},
			{s, reports(0, "m", "1", "a"), order.Send},
			{s, sent(order.Accepted), order.Nothing},
			{2 * s, reports(0, "m", "1", "a"), order.Send},
			{2 * s, sent(order.Accepted), order.Wait},
			{3 * s, reports(0, "m", "1", "a"), order.Wait},
			{4 * s, reports(0, "m", "1", "a"), order.Send},
		},
		"no order is sent while the endpoint has a higher number": {
			{0, want(5, "1", "a", true), order.Nothing},
			{0, reports(7, "m", "9", "a"), order.Nothing},
			{9 * s, reports(4, "m", "9", "a"), order.Nothing},
			{9 * s, want(8, "1", "a", true), order.AcquireSlot},
		},
		"refused order is not repeated before a newer ticket": {
			{0, want(5, "1", "b", true), order.Nothing},
			{0, reports(4, "m", "1", "a"), order.Send},
			{0, sent(order.Refused), order.Nothing},
			{60 * s, reports(4, "m", "1", "a"), order.Nothing},
			{60 * s, want(6, "1", "b", true), order.Send},
		},
		"order with equal state is sent once, to raise the fencing number of an endpoint that checks it": {
			{0, want(5, "1", "a", true), order.Nothing},
			{0, reports(4, "m", "1", "a"), order.Send},
			{0, sent(order.Accepted), order.Nothing},
			{5 * s, reports(0, "m", "1", "a"), order.Nothing},
		},
		"equal state at an endpoint that ignores numbers needs no order": {
			{0, want(5, "1", "a", false), order.Nothing},
			{0, reports(4, "m", "1", "a"), order.Nothing},
		},
		"report from before the last order does not prove which model is loaded": {
			{0, want(2, "2", "a", true), order.Nothing},
			{0, reports(1, "m", "1", "a"), order.AcquireSlot},
			{0, grant, order.Send},
			{0, sent(order.Accepted), order.Nothing},
			{0, released, order.Nothing},
			{0, want(3, "1", "a", true), order.AcquireSlot},
		},
		"newer ticket replaces a running load in the same slot": {
			{0, want(2, "2", "a", true), order.Nothing},
			{0, reports(1, "m", "1", "a"), order.AcquireSlot},
			{0, grant, order.Send},
			{0, sending, order.Nothing},
			{0, want(3, "3", "a", true), order.Nothing},
			{0, func(o *order.Order, now time.Time) { o.Outcome(now, order.Accepted) }, order.Send},
		},
		"denied slot is requested again later": {
			{0, want(2, "2", "a", true), order.Nothing},
			{0, reports(1, "m", "1", "a"), order.AcquireSlot},
			{0, deny, order.Wait},
			{2 * s, unreachable, order.Nothing},
			{2 * s, reports(1, "m", "1", "a"), order.AcquireSlot},
		},
		"expired slot is acquired again": {
			{0, want(2, "2", "a", true), order.Nothing},
			{0, reports(1, "m", "1", "a"), order.AcquireSlot},
			{0, shortGrant, order.Send},
			{s, reports(1, "m", "1", "a"), order.AcquireSlot},
		},
		"order that was not sent releases its slot during the backoff": {
			{0, want(2, "2", "a", true), order.Nothing},
			{0, reports(1, "m", "1", "a"), order.AcquireSlot},
			{0, grant, order.Send},
			{0, sent(order.NotSent), order.ReleaseSlot},
			{0, released, order.Wait},
		},
		"order that was not sent leaves the slot to the load before it": {
			{0, want(2, "2", "a", true), order.Nothing},
			{0, reports(1, "m", "1", "a"), order.AcquireSlot},
			{0, grant, order.Send},
			{0, sent(order.Accepted), order.Nothing},
			{0, want(3, "3", "a", true), order.Send},
			{0, sent(order.NotSent), order.Wait},
		},
		"order with unknown outcome keeps its slot": {
			{0, want(2, "2", "a", true), order.Nothing},
			{0, reports(1, "m", "1", "a"), order.AcquireSlot},
			{0, grant, order.Send},
			{0, sent(order.Unknown), order.Wait},
			{2 * s, unreachable, order.Nothing},
			{2 * s, reports(2, "", "2", "a"), order.Wait},
		},
		"load that never ends is ordered again": {
			{0, want(2, "2", "a", true), order.Nothing},
			{0, reports(2, "", "2", "a"), order.Wait},
			{61 * s, reports(2, "", "2", "a"), order.AcquireSlot},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := newOrder()
			for i, step := range steps {
				now := start.Add(step.at)
				step.event(o, now)
				if got := o.Next(now).Kind; got != step.wantNext {
					t.Logf("step %d", i)
					is.Equal(got, step.wantNext)
				}
			}
		})
	}
}
