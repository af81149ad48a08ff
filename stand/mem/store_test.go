package mem_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/stand/mem"
)

// Guards against injected faults whose error contradicts the effect of the write, which would make recovery tests meaningless.
func TestFaults(t *testing.T) {
	cause := errors.New("cause")
	var later func()
	for name, tt := range map[string]struct {
		fault                   mem.Fault
		effect, fails, unknown  bool
		took                    time.Duration
		effectLater, wantsCause bool
	}{
		"works":              {effect: true},
		"refused":            {fault: mem.Fault{Refuse: true, Err: cause}, fails: true, wantsCause: true},
		"dropped":            {fault: mem.Fault{Drop: true}, fails: true, unknown: true},
		"answer lost":        {fault: mem.Fault{Err: cause}, effect: true, fails: true, unknown: true, wantsCause: true},
		"late":               {fault: mem.Fault{DeferEffect: func(fn func()) { later = fn }}, fails: true, unknown: true, effectLater: true},
		"delayed":            {fault: mem.Fault{Delay: time.Second}, effect: true, took: time.Second},
		"delayed too long":   {fault: mem.Fault{Delay: time.Hour}, effect: true, fails: true, unknown: true, took: time.Minute},
		"silent and refused": {fault: mem.Fault{Delay: time.Hour, Refuse: true}, fails: true, took: time.Minute},
		"caller paused":      {fault: mem.Fault{Pause: time.Hour}, effect: true, took: time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				m := mem.New(mem.WithFaults(func(mem.Call) mem.Fault { return tt.fault }))
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				began := time.Now()
				_, err := m.Put(ctx, "k", []byte("v"), 0)
				is.Equal(time.Since(began), tt.took)
				is.Equal(err != nil, tt.fails)
				is.Equal(core.MayHaveTakenEffect(err), tt.unknown)
				is.Equal(errors.Is(err, cause), tt.wantsCause)
				_, found := m.Object("k")
				is.Equal(found, tt.effect)
				if tt.effectLater {
					later()
					_, found = m.Object("k")
					is.True(found)
				}
			})
		})
	}
}

// Guards against writes whose version condition is not checked, reads that succeed despite a fault, and wrong call counts.
func TestConditions(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	m := mem.New()
	v, err := m.Put(ctx, "b", nil, 0)
	is.NoErr(err)
	_, err = m.Put(ctx, "b", nil, 0)
	is.True(errors.Is(err, core.ErrVersionMismatch) && !core.MayHaveTakenEffect(err))
	_, err = m.Put(ctx, "a", nil, v)
	is.True(errors.Is(err, core.ErrVersionMismatch))
	is.True(errors.Is(m.Delete(ctx, "b", v+1), core.ErrVersionMismatch))
	is.True(errors.Is(m.Delete(ctx, "a", 0), core.ErrVersionMismatch))
	is.NoErr(m.Delete(ctx, "b", v))
	_, err = m.Get(ctx, "b")
	is.True(errors.Is(err, core.ErrNotFound))
	is.Equal([]int{m.Calls(mem.OpPut), m.Calls(mem.OpDelete), m.Calls(mem.OpGet)}, []int{3, 3, 1})

	lossy := m.Client(mem.WithFaults(func(c mem.Call) mem.Fault { return mem.Fault{Drop: c.Number == 2} }))
	for _, fails := range []bool{false, true, false} {
		_, _, err = lossy.List(ctx, "", "", 1)
		is.Equal(err != nil, fails)
	}
	m.SetDown(true)
	is.True(!lossy.Reachable())
	_, err = m.Put(ctx, "c", nil, 0)
	is.True(err != nil && !core.MayHaveTakenEffect(err))
}

// Guards against watches that lose, repeat or reorder changes, or send no heartbeats.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, m := is.New(t), mem.New()
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		put := func(key string) core.Version {
			v, err := m.Put(ctx, key, nil, 0)
			is.NoErr(err)
			return v
		}
		since := put("t/0")
		put("t/2")
		v := put("t/1")
		put("u/1")
		time.AfterFunc(1500*time.Millisecond, func() { _ = m.Delete(ctx, "t/1", v) })
		var seen []string
		err := m.Watch(ctx, "t/", since, func(c *core.Change) error {
			is.Equal(m.Watches(), 1)
			if c == nil {
				seen = append(seen, "heartbeat")
			} else {
				seen = append(seen, fmt.Sprint(c.Key, " ", c.Version, " ", c.Deleted))
			}
			return nil
		})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(seen, []string{"t/2 2 false", "t/1 3 false", "heartbeat", "t/1 5 true", "heartbeat"})
		is.Equal(m.Watches(), 0)
		list, at, err := m.List(ctx, "", "t/0", 1)
		is.NoErr(err)
		is.Equal(len(list), 1)
		is.Equal(list[0].Key, "t/2")
		is.Equal(at, core.Version(5))
	})
}
