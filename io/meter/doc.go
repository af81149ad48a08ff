// Package meter keeps counters and histograms per team and rank and shows them through expvar.
package meter
