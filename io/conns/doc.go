// Package conns bounds what the connections of callers take before their requests are admitted: their number, and the memory of
// request heads.
package conns
