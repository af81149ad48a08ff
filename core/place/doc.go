// Package place selects the endpoint for a call and the engine that stores a backup copy of a generation.
package place
