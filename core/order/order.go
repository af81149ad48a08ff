package order

import (
	"slices"
	"time"

	"snipeshed/core"
)

// Order is the state of the orders to one endpoint; it is not safe for concurrent use.
type Order struct {
	settings

	wanted core.RunnerOrder
	checks bool
	// newest is the highest ticket number that the endpoint is known to have had.
	newest core.TicketNumber

	report   core.RunnerLoad
	reported time.Time // zero without a valid report

	// sent is when the outcome of the last order with an effect or a possible one was known: reports from sent
	// plus the report lag on show what became of it. It is zero before the first order.
	sent         time.Time
	sentNumber   core.TicketNumber
	sending      bool
	accepted     core.TicketNumber
	loads        bool // whether an order started a load that no report has confirmed
	loadedBefore bool // loads before the order that is on its way

	loadingSince time.Time
	sends        int // accepted orders in a row without the wanted state
	failures     int // failed orders in a row
	retry        time.Time

	slotUntil time.Time // zero without a slot
	slotRetry time.Time
	denied    time.Time
}

// New returns the state of an endpoint without wanted state and report.
func New(opts ...Option) *Order {
	o := &Order{settings: defaults()}
	for _, opt := range opts {
		opt(&o.settings)
	}
	return o
}

// Want sets the wanted state with the ticket that set it; an older ticket is ignored.
func (o *Order) Want(w core.RunnerOrder, checks bool) {
	if w.Number < o.wanted.Number {
		return
	}
	if w.Number > o.wanted.Number {
		o.sends, o.failures, o.retry, o.loadingSince = 0, 0, time.Time{}, time.Time{}
	}
	o.wanted, o.checks = w, checks
}

// Report takes the endpoint's report.
func (o *Order) Report(now time.Time, l core.RunnerLoad) {
	o.report, o.reported = l, now
	o.newest = max(o.newest, l.OrderNumber)
	if o.shown() && l.Model != "" {
		o.loads = false
	}
	if !o.reportsLoading() {
		o.loadingSince = time.Time{}
	} else if o.loadingSince.IsZero() {
		o.loadingSince = now
	}
	if o.satisfied() && !o.fenceBehind() {
		o.sends, o.failures, o.retry = 0, 0, time.Time{}
	}
}

// Unreachable drops the last report after a failed poll.
func (o *Order) Unreachable() { o.reported = time.Time{} }

// Sending notes that the order of a Send step is on its way.
func (o *Order) Sending(s Step) {
	o.sending = true
	o.sentNumber = s.Order.Number
	o.loadedBefore = o.loads
	o.loads = o.loads || s.Load
}

// Outcome takes the result of the order that was sent.
func (o *Order) Outcome(now time.Time, r Result) {
	o.sending = false
	current := o.sentNumber == o.wanted.Number
	if r == Accepted || r == Unknown {
		o.sent = now
	} else {
		o.loads = o.loadedBefore
	}
	if r == Accepted {
		o.accepted, o.loadingSince = o.sentNumber, time.Time{}
	}
	if r == Refused {
		o.newest = max(o.newest, o.sentNumber+1)
	}
	switch {
	case !current: // a newer ticket came meanwhile and is due at once
	case r == Accepted:
		o.failures = 0
		if o.sends++; o.sends > promptSends {
			o.retry = now.Add(o.reportLag + o.backoff(o.sends-promptSends))
		}
	default:
		o.failures++
		o.retry = now.Add(o.backoff(o.failures))
	}
}

// Granted notes a slot that is held until a time.
func (o *Order) Granted(until time.Time) { o.slotUntil = until }

// Denied notes that no slot was free, or that another owner held one for this endpoint.
func (o *Order) Denied(now time.Time) {
	o.denied, o.slotRetry = now, now.Add(o.jitter(o.settings.slotRetry))
}

// Released notes that the slot was given back or lost.
func (o *Order) Released() { o.slotUntil = time.Time{} }

// Next returns the next step.
func (o *Order) Next(now time.Time) Step {
	switch {
	case o.wanted.Number == 0 || o.sending:
		return Step{}
	case o.newest > o.wanted.Number:
		return o.idle()
	case o.reported.IsZero():
		return o.idle()
	case o.satisfied():
		if o.fenceBehind() {
			if step, held := o.hold(now); held {
				return step
			}
			return Step{Kind: Send, Order: o.wanted}
		}
		return o.idle()
	case o.loading(now):
		return Step{Kind: Wait, At: o.loadingSince.Add(o.loadLimit)}
	}
	return o.due(now)
}

// idle gives back a slot that no load needs; that of a load which may still run is left to its lease.
func (o *Order) idle() Step {
	if !o.loads && !o.slotUntil.IsZero() {
		return Step{Kind: Release}
	}
	return Step{}
}

// due returns the step for an endpoint that deviates from the wanted state.
func (o *Order) due(now time.Time) Step {
	if !o.loads && !o.slotUntil.IsZero() && now.Before(o.retry) {
		return Step{Kind: Release} // another endpoint may use it during the backoff
	}
	load := o.needsLoad()
	step, held := o.hold(now)
	switch {
	case held:
		return step
	case load && !now.Before(o.slotUntil) && now.Before(o.slotRetry):
		return Step{Kind: Wait, At: o.slotRetry}
	case load && !now.Before(o.slotUntil) && o.reported.Before(o.denied.Add(o.reportLag)):
		return Step{} // another owner may have loaded it since the denial; the next report shows that
	case load && !now.Before(o.slotUntil):
		return Step{Kind: Acquire}
	}
	return Step{Kind: Send, Order: o.wanted, Load: load}
}

// hold reports whether the next order has to wait, and how.
func (o *Order) hold(now time.Time) (Step, bool) {
	if now.Before(o.retry) {
		return Step{Kind: Wait, At: o.retry}, true
	}
	return Step{}, o.unseen() // the next report shows what became of the last order
}

// unseen reports whether no report shows yet what became of the order of the wanted state.
func (o *Order) unseen() bool { return o.sentNumber == o.wanted.Number && !o.shown() }

// shown reports whether the last report is late enough to show the effect of the last order.
func (o *Order) shown() bool {
	return o.sent.IsZero() || (!o.sending && !o.reported.Before(o.sent.Add(o.reportLag)))
}

// equal reports whether the last report shows the wanted state.
func (o *Order) equal() bool {
	return o.sameModel() && o.report.Role == o.wanted.Role && slices.Equal(o.report.Adapters, o.wanted.Adapters)
}

func (o *Order) sameModel() bool {
	return o.report.Model == o.wanted.Model && o.report.Version == o.wanted.Version
}

// satisfied reports whether the endpoint has the wanted state. A report that may be older than the last order does
// not count, even with the number of the wanted state: the order may be the repetition after a late one.
func (o *Order) satisfied() bool { return o.equal() && o.shown() }

// fenceBehind reports whether a checking endpoint would still take orders older than the wanted state.
func (o *Order) fenceBehind() bool {
	return o.checks && o.report.OrderNumber < o.wanted.Number && o.accepted != o.wanted.Number
}

// needsLoad reports whether the order makes the endpoint load a model. A report that may be older than the last
// order proves nothing of what is loaded.
func (o *Order) needsLoad() bool { return !o.sameModel() || !o.shown() }

func (o *Order) reportsLoading() bool {
	return o.report.Model == "" && o.report.OrderNumber == o.wanted.Number && o.wanted.Number > 0
}

func (o *Order) loading(now time.Time) bool {
	return o.reportsLoading() && now.Before(o.loadingSince.Add(o.loadLimit))
}

// Loads reports whether the endpoint may be loading a model, so that it takes no new work.
func (o *Order) Loads() bool { return o.loads }

// Reachable reports whether the endpoint answered the last poll.
func (o *Order) Reachable() bool { return !o.reported.IsZero() }

// State describes the endpoint for operators.
func (o *Order) State(now time.Time) State {
	switch {
	case o.newest > o.wanted.Number:
		return StateBehind
	case o.reported.IsZero():
		return StateUnknown
	case o.satisfied():
		return StateDone
	case o.loading(now):
		return StateLoading
	case o.sending || o.unseen():
		return StateSent
	case o.sends > promptSends:
		return StateRepeating
	case o.needsLoad() && !now.Before(o.slotUntil):
		return StateSlot
	}
	return StatePending
}

// Sends returns how many accepted orders in a row have not led to the wanted state.
func (o *Order) Sends() int { return o.sends }
