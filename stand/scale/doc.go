// Package scale measures the control plane of a fleet of instances in one process on loopback.
package scale
