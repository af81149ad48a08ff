// Package weight limits how many model loads run at once in the whole fleet, because all engines load their weights from one
// rate-limited weight store. The slots of that limit are kept in one object of the object API, the slot table.
//
// Each slot is a lease. Its holder counts the lease from before the write; the
// others count it from when they first saw that write. So no clocks are compared,
// and the lease ends for its holder first.
package weight
