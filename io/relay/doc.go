// Package relay distributes configuration tickets and the instance list among instances by gossip and tracks whether the
// configuration in force is known to be current.
package relay
