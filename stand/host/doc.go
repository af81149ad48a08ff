// Package host provides the HTTP server and request helpers that the stand-ins (simulated services) share.
package host
