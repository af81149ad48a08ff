// Package queue is the chosen policy of a pool: ranks, deadlines, floors, fairness among teams and load shedding.
package queue
