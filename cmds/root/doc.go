// Package root runs a command line, prints errors on one line, and cancels the command at SIGTERM or SIGINT.
package root
