// Package member tracks the live members of the fleet from the instance list and the instances' own reports,
// and assigns resources to owners by rendezvous hashing.
package member
