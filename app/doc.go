// Package app puts the parts of one instance together.
package app
