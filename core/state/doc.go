// Package state applies the log of change tickets in order and holds the resulting configuration.
package state
