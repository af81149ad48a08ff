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

func (sim *simulation) newTicket() {
	n := sim.ticket.Number + 1
	sim.ticket = wanted(n, rapid.SampledFrom([]string{"1", "2"}).Draw(sim.t, "version"),
		rapid.SampledFrom([]string{"a", "b"}).Draw(sim.t, "role"))
	sim.tickets = append(sim.tickets, sim.ticket)
}

func (sim *simulation) setWanted(t core.RunnerOrder) {
	sim.decider.SetWanted(t, sim.engine.checksFencing)
	sim.highestSeen = max(sim.highestSeen, t.Number)
}

func (sim *simulation) poll(age time.Duration) {
	l := sim.engine.report(sim.now, age)
	sim.highestSeen = max(sim.highestSeen, l.OrderNumber)
	sim.decider.Report(sim.now, l)
}

// runSteps carries out the steps that are due and checks each order.
func (sim *simulation) runSteps() {
	for {
		s := sim.decider.Next(sim.now)
		switch s.Kind {
		case order.AcquireSlot:
			if sim.faultsEnabled && rapid.Bool().Draw(sim.t, "denied") {
				sim.decider.SlotDenied(sim.now)
				break
			}
			sim.slotUntil = sim.now.Add(time.Hour)
			sim.decider.SlotGranted(sim.slotUntil)
		case order.ReleaseSlot:
			if sim.now.Before(sim.engine.loadEnd) && sim.engine.state.Number == sim.highestSeen && sim.engine.loadEnd.Equal(sim.expectedLoadEnd) {
				sim.t.Fatalf("slot is released during the load of order %d", sim.highestSeen)
			}
			sim.slotUntil = time.Time{}
			sim.decider.SlotReleased()
		case order.Send:
			sim.send(s)
		default:
			return
		}
	}
}

func (sim *simulation) send(s order.Step) {
	if s.Order.Number < sim.highestSeen {
		sim.t.Fatalf("order %d was sent after ticket %d was seen", s.Order.Number, sim.highestSeen)
	}
	if s.Load && !sim.now.Before(sim.slotUntil) {
		sim.t.Fatalf("order %d starts a load without a slot", s.Order.Number)
	}
	if s.Order.Number == sim.acceptedNumber && sim.now.Before(sim.acceptedAt.Add(reportLag)) {
		sim.t.Fatalf("order %d is repeated before a report can show it", s.Order.Number)
	}
	sim.decider.Sending(s)
	loadEndBefore := sim.engine.loadEnd
	delivery := 0
	if sim.faultsEnabled {
		delivery = rapid.IntRange(0, 4).Draw(sim.t, "delivery")
	}
	result := order.Unknown
	switch delivery {
	case 1: // the answer is lost
		sim.engine.apply(sim.now, s.Order)
	case 2: // the order arrives late
		sim.lateOrders = append(sim.lateOrders, s.Order)
	case 3: // the order is lost
	case 4:
		result = order.NotSent
	default:
		result = sim.engine.apply(sim.now, s.Order)
	}
	if result == order.Accepted {
		sim.acceptedAt, sim.acceptedNumber = sim.now, s.Order.Number
	}
	if result == order.Refused {
		sim.highestSeen = max(sim.highestSeen, s.Order.Number+1)
	}
	if s.Load && sim.engine.loadEnd != loadEndBefore {
		sim.expectedLoadEnd = sim.engine.loadEnd
	}
	sim.decider.Outcome(sim.now, result)
}

func (sim *simulation) injectEvent() {
	switch rapid.IntRange(0, 9).Draw(sim.t, "event") {
	case 0:
		sim.newTicket()
	case 1:
		sim.setWanted(rapid.SampledFrom(sim.tickets).Draw(sim.t, "adopted"))
	case 2: // another owner, with an older or newer ticket, sends an order that arrives later
		sim.lateOrders = append(sim.lateOrders, rapid.SampledFrom(sim.tickets).Draw(sim.t, "other"))
	case 3, 4:
		if len(sim.lateOrders) > 0 {
			i := rapid.IntRange(0, len(sim.lateOrders)-1).Draw(sim.t, "arrival")
			sim.engine.apply(sim.now, sim.lateOrders[i])
			sim.lateOrders = slices.Delete(sim.lateOrders, i, i+1)
		}
	case 5:
		sim.decider.Unreachable()
	case 6: // the engine restarts
		sim.engine.state, sim.engine.loadEnd = core.RunnerOrder{}, time.Time{}
	default:
		sim.poll(time.Duration(rapid.IntRange(0, int(reportLag/timeStep)).Draw(sim.t, "age")) * timeStep)
	}
}

// Guards against an endpoint that does not reach the wanted state, and against orders with outdated numbers, loads without
// a slot and orders repeated too early.
func TestEndsInWantedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, now: start, decider: newOrder(), engine: &engine{checksFencing: rapid.Bool().Draw(t, "checks")}, faultsEnabled: true}
		sim.engine.recordState(sim.now)
		sim.newTicket()
		for n := rapid.IntRange(1, 60).Draw(t, "events"); n > 0; n-- {
			sim.injectEvent()
			sim.runSteps()
			sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "wait")) * timeStep)
			sim.engine.recordState(sim.now)
		}
		// The faults end: all delayed orders have arrived, and the newest ticket is in force.
		for _, o := range sim.lateOrders {
			sim.engine.apply(sim.now, o)
		}
		sim.faultsEnabled = false
		sim.setWanted(sim.ticket)
		for end := sim.now.Add(40 * time.Second); sim.now.Before(end); sim.now = sim.now.Add(timeStep) {
			sim.engine.recordState(sim.now)
			if sim.now.Sub(start)/timeStep%10 == 0 {
				sim.poll(reportLag)
			}
			sim.runSteps()
		}
		e := sim.engine.state
		if e.Model != sim.ticket.Model || e.Version != sim.ticket.Version || e.Role != sim.ticket.Role || sim.now.Before(sim.engine.loadEnd) {
			t.Fatalf("endpoint has %+v, ticket wants %+v, Order.State is %q", e, sim.ticket, sim.decider.State(sim.now))
		}
		if sim.decider.State(sim.now) != order.StateDone || sim.decider.MayBeLoading() {
			t.Fatalf("endpoint has the wanted state, but Order.State is %q and Order.MayBeLoading is %v", sim.decider.State(sim.now), sim.decider.MayBeLoading())
		}
	})
}
