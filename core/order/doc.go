// Package order decides which order to send to an endpoint, and when.
//
// An order tells a model runner which model, version, role and adapters to
// serve. An Order is a state machine without sockets or goroutines: it takes
// the wanted state, the endpoint's reports and the outcomes of earlier steps,
// each with the current time, and returns the next step. The number of the
// ticket that set the wanted state is the fencing number of the order.
package order
