// Package weight limits how many model loads run at once in the whole fleet, by slots in one object of the object API.
//
// Each slot is a lease. Its holder counts the lease from before the write; the
// others count it from when they first saw that write. So no clocks are compared,
// and the lease ends for its holder first.
package weight
