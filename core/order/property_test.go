package order_test

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipeshed/core"
	"snipeshed/core/order"
)

// TestMain fixes the seed, so that a failure is found again; -rapid.seed on the command line replaces it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.shrinktime": "5s", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// engine is an endpoint whose reports are as old as the lag and that loads a version in loadTime.
type engine struct {
	checks  bool
	state   core.RunnerOrder
	ready   time.Time
	history []shot
}

type shot struct {
	at   time.Time
	load core.RunnerLoad
}

const loadTime = 3 * time.Second

func (e *engine) take(now time.Time, o core.RunnerOrder) order.Result {
	if e.checks && o.Number < e.state.Number {
		return order.Refused
	}
	if o.Model != e.state.Model || o.Version != e.state.Version {
		e.ready = now.Add(loadTime)
	}
	e.state = o
	e.snap(now)
	return order.Accepted
}

func (e *engine) snap(now time.Time) {
	l := core.RunnerLoad{OrderNumber: e.state.Number, Model: e.state.Model, Version: e.state.Version, Role: e.state.Role}
	if now.Before(e.ready) {
		l.Model = ""
	}
	e.history = append(e.history, shot{now, l})
}

func (e *engine) report(now time.Time, age time.Duration) core.RunnerLoad {
	i := len(e.history) - 1
	for i > 0 && e.history[i].at.After(now.Add(-age)) {
		i--
	}
	return e.history[i].load
}

// world is one owner, one engine and the orders of other owners that are still on their way.
type world struct {
	t       *rapid.T
	now     time.Time
	o       *order.Order
	e       *engine
	ticket  core.RunnerOrder
	tickets []core.RunnerOrder
	late    []core.RunnerOrder
	seen    core.TicketNumber
	until   time.Time
	accept  time.Time
	last    core.TicketNumber
	ready   time.Time // end of the last load that an order from here started as expected
	faults  bool
}

const tick = 100 * time.Millisecond

func (w *world) newTicket() {
	n := w.ticket.Number + 1
	w.ticket = wanted(n, rapid.SampledFrom([]string{"1", "2"}).Draw(w.t, "version"), rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "role"))
	w.tickets = append(w.tickets, w.ticket)
}

func (w *world) adopt(t core.RunnerOrder) {
	w.o.Want(t, w.e.checks)
	w.seen = max(w.seen, t.Number)
}

func (w *world) poll(age time.Duration) {
	l := w.e.report(w.now, age)
	w.seen = max(w.seen, l.OrderNumber)
	w.o.Report(w.now, l)
}

// step carries out what is due and checks each order.
func (w *world) step() {
	for {
		s := w.o.Next(w.now)
		switch s.Kind {
		case order.Acquire:
			if w.faults && rapid.Bool().Draw(w.t, "denied") {
				w.o.Denied(w.now)
				break
			}
			w.until = w.now.Add(time.Hour)
			w.o.Granted(w.until)
		case order.Release:
			if w.now.Before(w.e.ready) && w.e.state.Number == w.seen && w.e.ready.Equal(w.ready) {
				w.t.Fatalf("slot is released during the load of order %d", w.seen)
			}
			w.until = time.Time{}
			w.o.Released()
		case order.Send:
			w.send(s)
		default:
			return
		}
	}
}

func (w *world) send(s order.Step) {
	if s.Order.Number < w.seen {
		w.t.Fatalf("order %d was sent after ticket %d was seen", s.Order.Number, w.seen)
	}
	if s.Load && !w.now.Before(w.until) {
		w.t.Fatalf("order %d loads without slot", s.Order.Number)
	}
	if s.Order.Number == w.last && w.now.Before(w.accept.Add(lag)) {
		w.t.Fatalf("order %d is repeated before a report can show it", s.Order.Number)
	}
	w.o.Sending(s)
	ready := w.e.ready
	fate := 0
	if w.faults {
		fate = rapid.IntRange(0, 4).Draw(w.t, "fate")
	}
	result := order.Unknown
	switch fate {
	case 1: // the answer is lost
		w.e.take(w.now, s.Order)
	case 2: // the order arrives late
		w.late = append(w.late, s.Order)
	case 3: // the order is lost
	case 4:
		result = order.NotSent
	default:
		result = w.e.take(w.now, s.Order)
	}
	if result == order.Accepted {
		w.accept, w.last = w.now, s.Order.Number
	}
	if result == order.Refused {
		w.seen = max(w.seen, s.Order.Number+1)
	}
	if s.Load && w.e.ready != ready {
		w.ready = w.e.ready
	}
	w.o.Outcome(w.now, result)
}

func (w *world) fault() {
	switch rapid.IntRange(0, 9).Draw(w.t, "event") {
	case 0:
		w.newTicket()
	case 1:
		w.adopt(rapid.SampledFrom(w.tickets).Draw(w.t, "adopted"))
	case 2: // another owner, that may be behind or ahead, sends at some time
		w.late = append(w.late, rapid.SampledFrom(w.tickets).Draw(w.t, "other"))
	case 3, 4:
		if len(w.late) > 0 {
			i := rapid.IntRange(0, len(w.late)-1).Draw(w.t, "arrival")
			w.e.take(w.now, w.late[i])
			w.late = slices.Delete(w.late, i, i+1)
		}
	case 5:
		w.o.Unreachable()
	case 6: // the engine restarts
		w.e.state, w.e.ready = core.RunnerOrder{}, time.Time{}
	default:
		w.poll(time.Duration(rapid.IntRange(0, int(lag/tick)).Draw(w.t, "age")) * tick)
	}
}

// Guards against an endpoint that stays in an old state, orders with old numbers, loads without slot and repeated orders.
func TestEndsInWantedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: start, o: newOrder(), e: &engine{checks: rapid.Bool().Draw(t, "checks")}, faults: true}
		w.e.snap(w.now)
		w.newTicket()
		for n := rapid.IntRange(1, 60).Draw(t, "events"); n > 0; n-- {
			w.fault()
			w.step()
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "wait")) * tick)
			w.e.snap(w.now)
		}
		// Faults stop: what was late has arrived, and the newest ticket is in force.
		for _, o := range w.late {
			w.e.take(w.now, o)
		}
		w.faults = false
		w.adopt(w.ticket)
		for end := w.now.Add(40 * time.Second); w.now.Before(end); w.now = w.now.Add(tick) {
			w.e.snap(w.now)
			if w.now.Sub(start)/tick%10 == 0 {
				w.poll(lag)
			}
			w.step()
		}
		e := w.e.state
		if e.Model != w.ticket.Model || e.Version != w.ticket.Version || e.Role != w.ticket.Role || w.now.Before(w.e.ready) {
			t.Fatalf("endpoint has %+v, ticket wants %+v, decision %q", e, w.ticket, w.o.State(w.now))
		}
		if w.o.State(w.now) != order.StateDone || w.o.Loads() {
			t.Fatalf("endpoint has the wanted state, but the decision says %q, loads %v", w.o.State(w.now), w.o.Loads())
		}
	})
}
