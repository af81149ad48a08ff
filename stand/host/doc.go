// Package host runs the HTTP listener of a stand-in.
package host
