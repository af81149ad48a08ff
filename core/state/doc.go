// Package state folds the log of change tickets into the configuration in force.
package state
