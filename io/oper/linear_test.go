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

// outcome is the result of an apply, or the log that was read.
type outcome struct {
	number uint64
	err    *core.Error
	log    []string
}

// logModel is the sequential model of the log; its state is the ids in order, joined by spaces.
var logModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(st, in, out any) (bool, any) {
		log, got := strings.Fields(st.(string)), out.(outcome)
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
		case got.err.Execution == core.ExecutionUnknown && at >= 0:
			return true, st
		case got.err.Execution == core.ExecutionUnknown:
			return true, strings.Join(append(log, t.GetId()), " ")
		}
		return at < 0, st // a refused ticket must not be in the log
	},
}

// Guards against concurrent applies that are not linearizable: a ticket reported as accepted that is missing, in the log
// twice or under another number, or one reported as refused that is in the log.
func TestAppliersAreLinearizable(t *testing.T) {
	unknown := 0
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			ops := runAppliers(t, seed)
			for _, op := range ops {
				if out := op.Output.(outcome); out.err != nil && out.err.Execution == core.ExecutionUnknown {
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

// runAppliers runs three clients that apply four tickets each and read the log after each. Every apply uses a new instance.
func runAppliers(t *testing.T, seed uint64) []porcupine.Operation {
	st := newFaultyStore()
	st.rng = rand.New(rand.NewPCG(seed, 0))
	var mu sync.Mutex
	var ops []porcupine.Operation
	record := func(client int, in any, fn func() outcome) outcome {
		call := time.Now().UnixNano()
		out := fn()
		end := time.Now().UnixNano()
		if out.err != nil && out.err.Execution == core.ExecutionUnknown {
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
					record(client, in, func() outcome { return apply(t, st, in) })
				}
				record(client, nil, func() outcome { return outcome{log: st.ticketIDs(t)} })
			}
		})
	}
	wg.Wait()
	return ops
}

func apply(t *testing.T, st *faultyStore, in *wire.Ticket) outcome {
	o, _ := start(st)
	// Too short to read the log after a series of faults, so that some outcomes stay unknown.
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	got, err := o.Apply(ctx, in)
	var e *core.Error
	if err != nil {
		is.New(t).True(errors.As(err, &e))
	}
	return outcome{got.GetNumber(), e, nil}
}
