// Package probe asks engines whether they leave while the store, which tells so otherwise, is down.
package probe
