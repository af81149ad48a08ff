// Package weight limits the loads of the whole fleet by slots in one object of the object API.
//
// Each slot is a lease. Its holder counts the lease from before the write; the
// others count it from when they first saw that write, so no clocks are compared
// and the holder's count ends first.
package weight
