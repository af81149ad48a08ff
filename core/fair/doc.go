// Package fair decides whose turn it is: teams by virtual counters of tokens served, ranks by their floors.
package fair
