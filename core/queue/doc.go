// Package queue is the default scheduling policy of a pool. It combines ranks by priority, minimum shares of ranks
// (floors), deadlines, fair queueing among teams and load shedding.
package queue
