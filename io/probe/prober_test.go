package probe_test

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"snipeshed/core"
	"snipeshed/core/fleet"
	"snipeshed/io/event"
	"snipeshed/io/probe"
	"snipeshed/platform"
	"snipeshed/stand/revs"
)

// TestIdleCost guards against a prober that asks for each engine whether the store is down: with 300 instances and 3,000 engines that
// took half of an instance's processor on a calm day.
func TestIdleCost(t *testing.T) {
	is := is.New(t)
	f := fleet.New(func(core.EndpointID) {})
	for i := range 3000 {
		f.Set(time.Now(), revs.At(core.Version(i+1)), core.Endpoint{ID: core.EndpointID(strconv.Itoa(i)), Service: "lm", Started: 1})
	}
	log := event.New(t.Output(), "edge-1", logrus.ErrorLevel)
	defer log.Close()
	var active, assigned atomic.Int32
	p := probe.New(platform.NewMover(), f, log, probe.Hooks{
		IsActive:   func() bool { active.Add(1); return false },
		IsAssigned: func(core.Endpoint) bool { assigned.Add(1); return false },
		OnRefused:  func(core.EndpointID) {}, OnLeaving: func() {},
	})
	time.Sleep(time.Second)
	p.Close()
	is.True(active.Load() >= 1 && active.Load() <= 20)
	is.Equal(assigned.Load(), int32(0))
}
