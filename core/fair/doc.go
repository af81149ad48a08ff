// Package fair orders waiting calls by fair queueing: teams by virtual token counters (VTC), and ranks by the deficit
// from their floor, which is their minimum share of the output.
package fair
