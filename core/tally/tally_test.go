package tally_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/tally"
)

var start = time.Unix(1000, 0)

// TestSums guards against load that is counted twice, or that a silent instance leaves behind.
func TestSums(t *testing.T) {
	is := is.New(t)
	y := tally.New()
	y.Add("e", tally.Use{Calls: 1, Tokens: 100, Unread: 50, Bare: 100})
	y.Report(start, start.Add(1500*time.Millisecond), "p", map[core.EndpointID]tally.Use{"e": {Calls: 2, Tokens: 30}})
	y.Report(start, start.Add(1500*time.Millisecond), "p", map[core.EndpointID]tally.Use{"e": {Calls: 3, Tokens: 40}})
	y.Report(start.Add(time.Second), start.Add(2500*time.Millisecond), "q", map[core.EndpointID]tally.Use{"e": {Calls: 1}})
	is.Equal(y.Of(start.Add(time.Second), "e"), tally.Use{Calls: 5, Tokens: 140, Unread: 50, Bare: 100})
	is.Equal(y.Of(start.Add(2*time.Second), "e").Calls, 2) // p is silent
	is.Equal(y.Of(start.Add(9*time.Second), "e").Calls, 1)
	y.Add("e", tally.Use{Calls: -1, Tokens: -100, Unread: -50, Bare: -100})
	is.Equal(len(y.Own(start)), 0)
}

// TestOutcomes guards against an endpoint that is judged by failures of long ago.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	y := tally.New()
	y.End(start, "e", true)
	y.End(start.Add(time.Second), "e", false)
	is.Equal(y.Of(start.Add(time.Second), "e"), tally.Use{Failed: 1, Ended: 2})
	is.Equal(y.Of(start.Add(3*time.Second), "e"), tally.Use{Failed: 1, Ended: 2}) // in the half before
	is.Equal(y.Of(start.Add(20*time.Second), "e"), tally.Use{})
}

// TestChanges guards against changes that other instances are not told of.
func TestChanges(t *testing.T) {
	is := is.New(t)
	y := tally.New()
	before := y.Changes()
	y.Add("e", tally.Use{Calls: 1})
	is.True(y.Changes() > before)
}
