// Package sock opens TCP connections that detect an unresponsive peer within seconds.
package sock
