// Package root runs a command line with one-line errors and ends it at SIGTERM or SIGINT.
package root
