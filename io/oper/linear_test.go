package oper_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/wire"
)

// answer is what an applier was told, or the log that a reader saw.
type answer struct {
	number uint64
	err    *core.Error
	log    []string
}

// logModel is the log as one object: its state is the ids in order, joined by spaces.
var logModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(st, in, out any) (bool, any) {
		log, got := strings.Fields(st.(string)), out.(answer)
		t, ok := in.(*wire.Ticket)
		if !ok {
			return slices.Equal(log, got.log), st
		}
		at := slices.Index(log, t.GetId())
		switch {
		case got.err == nil && at >= 0:
			return got.number == uint64(at)+1, st
		case got.err == nil:
			return got.number == uint64(len(log))+1, strings.Join(append(log, t.GetId()), " ")
		case got.err.Kind == core.KindStoreDown:
			return true, st // this call wrote nothing; an earlier one with the same id may have
		case got.err.Run == core.RunUnknown && at >= 0:
			return true, st
		case got.err.Run == core.RunUnknown:
			return true, strings.Join(append(log, t.GetId()), " ")
		}
		return at < 0, st // refused: it must not be in the log
	},
}

// Guards against a log on which concurrent appliers disagree: a ticket told as accepted that is missing,
// doubled or under another number, or one told as refused that is there.
func TestAppliersAreLinearizable(t *testing.T) {
	unknown := 0
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			ops := race(t, seed)
			for _, op := range ops {
				if out := op.Output.(answer); out.err != nil && out.err.Run == core.RunUnknown {
					unknown++
				}
			}
			if !porcupine.CheckOperations(logModel, ops) {
				for _, op := range ops {
					t.Logf("client %d [%d, %d] %v: %+v", op.ClientId, op.Call, op.Return, op.Input, op.Output)
				}
				t.Fatalf("seed %d: the log is not linearizable", seed)
			}
		})
	}
	t.Logf("%d applies ended with an unknown outcome", unknown)
}

// race lets three appliers write four tickets each, every one through a new instance, and read the log in between.
func race(t *testing.T, seed uint64) []porcupine.Operation {
	st := newFake()
	st.rng = rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	var ops []porcupine.Operation
	record := func(client int, in any, fn func() answer) answer {
		call := time.Now().UnixNano()
		out := fn()
		end := time.Now().UnixNano()
		if out.err != nil && out.err.Run == core.RunUnknown {
			end = math.MaxInt64 // the write may take effect at any later time
		}
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
		return out
	}
	var wg sync.WaitGroup
	for client := range 3 {
		wg.Go(func() {
			for i := range 4 {
				in := ticket(fmt.Sprintf("c%d-%d", client, i), 0, rank(fmt.Sprintf("r%d-%d", client, i%2), int64(i)))
				if i == 1 { // all clients hold the same ticket, as after a retry through another instance
					in = ticket("shared", 0, rank("shared", 1))
				}
				for range 2 { // the second time is the operator's retry
					record(client, in, func() answer { return apply(t, st, in) })
				}
				record(client, nil, func() answer { return answer{log: st.log(t)} })
			}
		})
	}
	wg.Wait()
	return ops
}

func apply(t *testing.T, st *fake, in *wire.Ticket) answer {
	o, _ := start(st)
	// Too short to read back through a run of faults, so that some outcomes stay unknown.
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	got, err := o.Apply(ctx, in)
	var e *core.Error
	if err != nil {
		is.New(t).True(errors.As(err, &e))
	}
	return answer{got.GetNumber(), e, nil}
}
