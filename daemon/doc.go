// Package daemon puts the parts of one instance together.
package daemon
