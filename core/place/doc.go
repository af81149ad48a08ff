// Package place chooses the endpoint of a call and the engine that keeps a copy of a generation.
package place
