// Package check validates change tickets before they are accepted.
package check
