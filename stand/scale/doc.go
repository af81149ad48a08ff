// Package scale benchmarks the control plane of fleets of instances that run in one process on loopback.
package scale
