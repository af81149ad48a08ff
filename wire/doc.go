// Package wire holds the messages between instances and the change tickets, generated from proto/wire.
package wire
