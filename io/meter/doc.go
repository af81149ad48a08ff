// Package meter keeps counters, and latency histograms per team and per rank, and serves them as expvar JSON.
package meter
