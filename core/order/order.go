package order

import (
	"slices"
	"time"

	"snipeshed/core"
)

// Order is the state of the orders to one endpoint; it is not safe for concurrent use.
type Order struct {
	settings

	wanted        core.RunnerOrder
	checksFencing bool
	// newestNumber is the highest order number that the endpoint is known to have received.
	newestNumber core.TicketNumber

	report     core.RunnerLoad
	reportedAt time.Time // zero when there is no valid report

	// outcomeAt is when the outcome of the last accepted or possibly accepted order became known: reports received at
	// outcomeAt plus the report lag or later show its effect. It is zero before the first order.
	outcomeAt         time.Time
	sentNumber        core.TicketNumber
	inFlight          bool
	acceptedNumber    core.TicketNumber
	loadPending       bool // whether an order may have started a load that no report shows as finished
	loadPendingBefore bool // value of loadPending before the order in flight

	loadingSince     time.Time
	ineffectiveSends int // accepted orders in a row that did not lead to the wanted state
	failures         int // failed orders in a row
	retryAt          time.Time

	slotUntil time.Time // zero when no slot is held
	// slotRetry is the earliest time of the next attempt to acquire a slot; settings.slotRetry is the mean interval between
	// attempts.
	slotRetry time.Time
	deniedAt  time.Time
}

// New returns an Order for an endpoint that has no wanted state and no report yet.
func New(opts ...Option) *Order {
	o := &Order{settings: defaultSettings()}
	for _, opt := range opts {
		opt(&o.settings)
	}
	return o
}

// SetWanted sets the wanted state, unless it comes from an older ticket than the current one. The argument
// checksFencing reports whether the endpoint refuses orders with lower numbers than it has received.
func (o *Order) SetWanted(w core.RunnerOrder, checksFencing bool) {
	if w.Number < o.wanted.Number {
		return
	}
	if w.Number > o.wanted.Number {
		o.ineffectiveSends, o.failures, o.retryAt, o.loadingSince = 0, 0, time.Time{}, time.Time{}
	}
	o.wanted, o.checksFencing = w, checksFencing
}

// Report records the endpoint's report.
func (o *Order) Report(now time.Time, l core.RunnerLoad) {
	o.report, o.reportedAt = l, now
	o.newestNumber = max(o.newestNumber, l.OrderNumber)
	if o.reportShowsEffect() && l.Model != "" {
		o.loadPending = false
	}
	if !o.reportsLoading() {
		o.loadingSince = time.Time{}
	} else if o.loadingSince.IsZero() {
		o.loadingSince = now
	}
	if o.hasWantedState() && !o.fencingNumberBehind() {
		o.ineffectiveSends, o.failures, o.retryAt = 0, 0, time.Time{}
	}
}

// Unreachable discards the last report after a failed poll.
func (o *Order) Unreachable() { o.reportedAt = time.Time{} }

// Sending records that the order of a Send step is in flight.
func (o *Order) Sending(s Step) {
	o.inFlight = true
	o.sentNumber = s.Order.Number
	o.loadPendingBefore = o.loadPending
	o.loadPending = o.loadPending || s.Load
}

// Outcome records the result of the order in flight.
func (o *Order) Outcome(now time.Time, r Result) {
	o.inFlight = false
	current := o.sentNumber == o.wanted.Number
	if r == Accepted || r == Unknown {
		o.outcomeAt = now
	} else {
		o.loadPending = o.loadPendingBefore
	}
	if r == Accepted {
		o.acceptedNumber, o.loadingSince = o.sentNumber, time.Time{}
	}
	if r == Refused {
		o.newestNumber = max(o.newestNumber, o.sentNumber+1)
	}
	switch {
	case !current: // a newer ticket has arrived since, and its order is due at once
	case r == Accepted:
		o.failures = 0
		if o.ineffectiveSends++; o.ineffectiveSends > immediateSends {
			o.retryAt = now.Add(o.reportLag + o.backoff(o.ineffectiveSends-immediateSends))
		}
	default:
		o.failures++
		o.retryAt = now.Add(o.backoff(o.failures))
	}
}

// SlotGranted records that a slot is held until the given time.
func (o *Order) SlotGranted(until time.Time) { o.slotUntil = until }

// SlotDenied records that no slot was free, or that another owner held one for this endpoint.
func (o *Order) SlotDenied(now time.Time) {
	o.deniedAt, o.slotRetry = now, now.Add(o.jitter(o.settings.slotRetry))
}

// SlotReleased records that the slot was released or lost.
func (o *Order) SlotReleased() { o.slotUntil = time.Time{} }

// Next returns the next step.
func (o *Order) Next(now time.Time) Step {
	switch {
	case o.wanted.Number == 0 || o.inFlight:
		return Step{}
	case o.newestNumber > o.wanted.Number:
		return o.idleStep()
	case o.reportedAt.IsZero():
		return o.idleStep()
	case o.hasWantedState():
		if o.fencingNumberBehind() {
			if step, mustWait := o.waitStep(now); mustWait {
				return step
			}
			return Step{Kind: Send, Order: o.wanted}
		}
		return o.idleStep()
	case o.isLoading(now):
		return Step{Kind: Wait, At: o.loadingSince.Add(o.loadTimeout)}
	}
	return o.dueStep(now)
}

// idleStep releases a slot that no load needs. The slot of a load that may still be running is kept until its lease expires.
func (o *Order) idleStep() Step {
	if !o.loadPending && !o.slotUntil.IsZero() {
		return Step{Kind: ReleaseSlot}
	}
	return Step{}
}

// dueStep returns the step for an endpoint that is not in the wanted state.
func (o *Order) dueStep(now time.Time) Step {
	if !o.loadPending && !o.slotUntil.IsZero() && now.Before(o.retryAt) {
		return Step{Kind: ReleaseSlot} // lets another endpoint use it during the backoff
	}
	load := o.needsLoad()
	step, mustWait := o.waitStep(now)
	switch {
	case mustWait:
		return step
	case load && !now.Before(o.slotUntil) && now.Before(o.slotRetry):
		return Step{Kind: Wait, At: o.slotRetry}
	case load && !now.Before(o.slotUntil) && o.reportedAt.Before(o.deniedAt.Add(o.reportLag)):
		return Step{} // another owner may have loaded the model since the denial; the next report shows that
	case load && !now.Before(o.slotUntil):
		return Step{Kind: AcquireSlot}
	}
	return Step{Kind: Send, Order: o.wanted, Load: load}
}

// waitStep returns the step to take while the next order has to wait, and whether it has to.
func (o *Order) waitStep(now time.Time) (Step, bool) {
	if now.Before(o.retryAt) {
		return Step{Kind: Wait, At: o.retryAt}, true
	}
	return Step{}, o.effectUnreported() // the next report shows the effect of the last order
}

// effectUnreported reports whether the order for the wanted state was sent and no report shows its effect yet.
func (o *Order) effectUnreported() bool {
	return o.sentNumber == o.wanted.Number && !o.reportShowsEffect()
}

// reportShowsEffect reports whether the last report is recent enough to show the effect of the last order.
func (o *Order) reportShowsEffect() bool {
	return o.outcomeAt.IsZero() || (!o.inFlight && !o.reportedAt.Before(o.outcomeAt.Add(o.reportLag)))
}

// reportsWantedState reports whether the last report shows the wanted state.
func (o *Order) reportsWantedState() bool {
	return o.reportsWantedModel() && o.report.Role == o.wanted.Role && slices.Equal(o.report.Adapters, o.wanted.Adapters)
}

func (o *Order) reportsWantedModel() bool {
	return o.report.Model == o.wanted.Model && o.report.Version == o.wanted.Version
}

// hasWantedState reports whether the endpoint is in the wanted state. A report that may be older than the last order does
// not count, even if it has the wanted ticket's number: the last order may have repeated an earlier one because a delayed
// older order had replaced the state after that report.
func (o *Order) hasWantedState() bool { return o.reportsWantedState() && o.reportShowsEffect() }

// fencingNumberBehind reports whether an endpoint that checks fencing numbers would still accept orders of older tickets.
func (o *Order) fencingNumberBehind() bool {
	return o.checksFencing && o.report.OrderNumber < o.wanted.Number && o.acceptedNumber != o.wanted.Number
}

// needsLoad reports whether the order may make the endpoint load a model. A report that may be older than the last
// order does not prove which model is loaded.
func (o *Order) needsLoad() bool { return !o.reportsWantedModel() || !o.reportShowsEffect() }

func (o *Order) reportsLoading() bool {
	return o.report.Model == "" && o.report.OrderNumber == o.wanted.Number && o.wanted.Number > 0
}

func (o *Order) isLoading(now time.Time) bool {
	return o.reportsLoading() && now.Before(o.loadingSince.Add(o.loadTimeout))
}

// MayBeLoading reports whether the endpoint may be loading a model, in which case it gets no new work.
func (o *Order) MayBeLoading() bool { return o.loadPending }

// Reachable reports whether the endpoint answered the last poll.
func (o *Order) Reachable() bool { return !o.reportedAt.IsZero() }

// State returns the state to show to operators.
func (o *Order) State(now time.Time) State {
	switch {
	case o.newestNumber > o.wanted.Number:
		return StateNewerTicket
	case o.reportedAt.IsZero():
		return StateUnknown
	case o.hasWantedState():
		return StateDone
	case o.isLoading(now):
		return StateLoading
	case o.inFlight || o.effectUnreported():
		return StateSent
	case o.ineffectiveSends > immediateSends:
		return StateRepeating
	case o.needsLoad() && !now.Before(o.slotUntil):
		return StateWaitingForSlot
	}
	return StateDue
}

// IneffectiveSends returns the number of accepted orders in a row that did not lead to the wanted state.
func (o *Order) IneffectiveSends() int { return o.ineffectiveSends }
