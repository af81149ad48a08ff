// Package svc is a stand-in of an application runner: it accepts any call and counts how often each Idempotency-Key ran.
package svc
