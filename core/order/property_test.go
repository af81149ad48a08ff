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

// TestMain fixes the seed, so that failures are reproducible; -rapid.seed on the command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.shrinktime": "5s", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// engine simulates an endpoint whose reports are up to reportLag old and which loads a model in loadTime.
type engine struct {
	checksFencing bool
	state         core.RunnerOrder
	loadEnd       time.Time
	pastStates    []timedLoad
}

type timedLoad struct {
	at   time.Time
	load core.RunnerLoad
}

const loadTime = 3 * time.Second

func (e *engine) apply(now time.Time, o core.RunnerOrder) order.Result {
	if e.checksFencing && o.Number < e.state.Number {
		return order.Refused
	}
	if o.Model != e.state.Model || o.Version != e.state.Version {
		e.loadEnd = now.Add(loadTime)
	}
	e.state = o
	e.recordState(now)
	return order.Accepted
}

func (e *engine) recordState(now time.Time) {
	l := core.RunnerLoad{OrderNumber: e.state.Number, Model: e.state.Model, Version: e.state.Version, Role: e.state.Role}
	if now.Before(e.loadEnd) {
		l.Model = ""
	}
	e.pastStates = append(e.pastStates, timedLoad{now, l})
}

func (e *engine) report(now time.Time, age time.Duration) core.RunnerLoad {
	i := len(e.pastStates) - 1
	for i > 0 && e.pastStates[i].at.After(now.Add(-age)) {
		i--
	}
	return e.pastStates[i].load
}

// simulation has one owner, one engine, and orders in flight that have not reached the engine yet.
type simulation struct {
	t               *rapid.T
	now             time.Time
	decider         *order.Order
	engine          *engine
	ticket          core.RunnerOrder
	tickets         []core.RunnerOrder
	lateOrders      []core.RunnerOrder
	highestSeen     core.TicketNumber
	slotUntil       time.Time
	acceptedAt      time.Time
	acceptedNumber  core.TicketNumber
	expectedLoadEnd time.Time // end of the last load that an order of this owner started
	faultsEnabled   bool
}

const timeStep = 100 * time.Millisecond

func (w *simulation) newTicket() {
	n := w.ticket.Number + 1
	w.ticket = wanted(n, rapid.SampledFrom([]string{"1", "2"}).Draw(w.t, "version"), rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "role"))
	w.tickets = append(w.tickets, w.ticket)
}

func (w *simulation) setWanted(t core.RunnerOrder) {
	w.decider.SetWanted(t, w.engine.checksFencing)
	w.highestSeen = max(w.highestSeen, t.Number)
}

func (w *simulation) poll(age time.Duration) {
	l := w.engine.report(w.now, age)
	w.highestSeen = max(w.highestSeen, l.OrderNumber)
	w.decider.Report(w.now, l)
}

// runSteps carries out the steps that are due and checks each order.
func (w *simulation) runSteps() {
	for {
		s := w.decider.Next(w.now)
		switch s.Kind {
		case order.AcquireSlot:
			if w.faultsEnabled && rapid.Bool().Draw(w.t, "denied") {
				w.decider.SlotDenied(w.now)
				break
			}
			w.slotUntil = w.now.Add(time.Hour)
			w.decider.SlotGranted(w.slotUntil)
		case order.ReleaseSlot:
			if w.now.Before(w.engine.loadEnd) && w.engine.state.Number == w.highestSeen && w.engine.loadEnd.Equal(w.expectedLoadEnd) {
				w.t.Fatalf("slot is released during the load of order %d", w.highestSeen)
			}
			w.slotUntil = time.Time{}
			w.decider.SlotReleased()
		case order.Send:
			w.send(s)
		default:
			return
		}
	}
}

func (w *simulation) send(s order.Step) {
	if s.Order.Number < w.highestSeen {
		w.t.Fatalf("order %d was sent after ticket %d was seen", s.Order.Number, w.highestSeen)
	}
	if s.Load && !w.now.Before(w.slotUntil) {
		w.t.Fatalf("order %d starts a load without a slot", s.Order.Number)
	}
	if s.Order.Number == w.acceptedNumber && w.now.Before(w.acceptedAt.Add(reportLag)) {
		w.t.Fatalf("order %d is repeated before a report can show it", s.Order.Number)
	}
	w.decider.Sending(s)
	loadEndBefore := w.engine.loadEnd
	delivery := 0
	if w.faultsEnabled {
		delivery = rapid.IntRange(0, 4).Draw(w.t, "fate")
	}
	result := order.Unknown
	switch delivery {
	case 1: // the answer is lost
		w.engine.apply(w.now, s.Order)
	case 2: // the order arrives late
		w.lateOrders = append(w.lateOrders, s.Order)
	case 3: // the order is lost
	case 4:
		result = order.NotSent
	default:
		result = w.engine.apply(w.now, s.Order)
	}
	if result == order.Accepted {
		w.acceptedAt, w.acceptedNumber = w.now, s.Order.Number
	}
	if result == order.Refused {
		w.highestSeen = max(w.highestSeen, s.Order.Number+1)
	}
	if s.Load && w.engine.loadEnd != loadEndBefore {
		w.expectedLoadEnd = w.engine.loadEnd
	}
	w.decider.Outcome(w.now, result)
}

func (w *simulation) injectEvent() {
	switch rapid.IntRange(0, 9).Draw(w.t, "event") {
	case 0:
		w.newTicket()
	case 1:
		w.setWanted(rapid.SampledFrom(w.tickets).Draw(w.t, "adopted"))
	case 2: // another owner, with an older or newer ticket, sends an order that arrives later
		w.lateOrders = append(w.lateOrders, rapid.SampledFrom(w.tickets).Draw(w.t, "other"))
	case 3, 4:
		if len(w.lateOrders) > 0 {
			i := rapid.IntRange(0, len(w.lateOrders)-1).Draw(w.t, "arrival")
			w.engine.apply(w.now, w.lateOrders[i])
			w.lateOrders = slices.Delete(w.lateOrders, i, i+1)
		}
	case 5:
		w.decider.Unreachable()
	case 6: // the engine restarts
		w.engine.state, w.engine.loadEnd = core.RunnerOrder{}, time.Time{}
	default:
		w.poll(time.Duration(rapid.IntRange(0, int(reportLag/timeStep)).Draw(w.t, "age")) * timeStep)
	}
}

// Guards against an endpoint that does not reach the wanted state, and against orders with outdated numbers, loads without
// a slot and orders repeated too early.
func TestEndsInWantedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, now: start, decider: newOrder(), engine: &engine{checksFencing: rapid.Bool().Draw(t, "checks")}, faultsEnabled: true}
		w.engine.recordState(w.now)
		w.newTicket()
		for n := rapid.IntRange(1, 60).Draw(t, "events"); n > 0; n-- {
			w.injectEvent()
			w.runSteps()
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "wait")) * timeStep)
			w.engine.recordState(w.now)
		}
		// The faults end: all delayed orders have arrived, and the newest ticket is in force.
		for _, o := range w.lateOrders {
			w.engine.apply(w.now, o)
		}
		w.faultsEnabled = false
		w.setWanted(w.ticket)
		for end := w.now.Add(40 * time.Second); w.now.Before(end); w.now = w.now.Add(timeStep) {
			w.engine.recordState(w.now)
			if w.now.Sub(start)/timeStep%10 == 0 {
				w.poll(reportLag)
			}
			w.runSteps()
		}
		e := w.engine.state
		if e.Model != w.ticket.Model || e.Version != w.ticket.Version || e.Role != w.ticket.Role || w.now.Before(w.engine.loadEnd) {
			t.Fatalf("endpoint has %+v, ticket wants %+v, Order.State is %q", e, w.ticket, w.decider.State(w.now))
		}
		if w.decider.State(w.now) != order.StateDone || w.decider.MayBeLoading() {
			t.Fatalf("endpoint has the wanted state, but Order.State is %q and Order.MayBeLoading is %v", w.decider.State(w.now), w.decider.MayBeLoading())
		}
	})
}
