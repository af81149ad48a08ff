// Package link is a TCP forwarder for tests of broken networks.
package link
