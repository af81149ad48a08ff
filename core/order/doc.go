// Package order decides which order one endpoint needs now.
//
// An Order takes the wanted state, the endpoint's reports and the outcomes of
// earlier steps, each with the current time, and returns the next step. It has
// no sockets and no goroutines. The number of the ticket that set the wanted
// state is the fencing number of the order.
package order
