// Package sock opens TCP connections that notice when their other end has gone silent.
package sock
