// Package relay distributes configuration tickets and the instance list among instances by gossip and tracks whether the
// configuration in force is known to be current.
//
// A few instances of each failure domain, its relays, also watch the platform and pass changes on to the others.
package relay
