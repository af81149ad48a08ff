package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/length"
)

// Guards against calls queued at an engine that runs fewer sequences than usual, against a limit learned from calls that
// only waited for the next step or for memory, and against a limit that is kept when the engine can run more.
func TestSequenceLimit(t *testing.T) {
	report := func(running, waiting int, used core.Tokens) core.RunnerLoad {
		return core.RunnerLoad{Running: running, Waiting: waiting, KVUsed: used, KVCapacity: 100}
	}
	for _, tc := range []struct {
		name    string
		reports []core.RunnerLoad
		limit   int
	}{
		{"two reports of a full engine", []core.RunnerLoad{report(4, 6, 40), report(4, 2, 40)}, 4},
		{"two reports, one of them between two steps", []core.RunnerLoad{report(3, 6, 30), report(4, 2, 40)}, 4},
		{"one report", []core.RunnerLoad{report(4, 6, 40)}, 0},
		{"another number runs each time", []core.RunnerLoad{report(4, 1, 40), report(7, 1, 70), report(5, 1, 50)}, 0},
		{"nothing waited in between", []core.RunnerLoad{report(4, 1, 40), report(4, 0, 40), report(4, 1, 40)}, 0},
		{"calls wait for memory", []core.RunnerLoad{report(4, 6, 95), report(4, 6, 95)}, 0},
		{"the engine runs nothing", []core.RunnerLoad{report(0, 6, 0), report(0, 6, 0)}, 0},
		{"a full engine without waiting calls may take more, after some reports", []core.RunnerLoad{
			report(8, 1, 40), report(8, 1, 40), report(8, 0, 40), report(8, 0, 40), report(8, 0, 40), report(8, 0, 40),
		}, 10},
		{"calls that wait in between prevent an increase", []core.RunnerLoad{
			report(8, 1, 40), report(8, 1, 40), report(8, 0, 40), report(8, 0, 40), report(8, 1, 40), report(8, 0, 40), report(8, 0, 40),
		}, 8},
		{"the engine runs more", []core.RunnerLoad{report(8, 1, 40), report(8, 1, 40), report(12, 0, 40)}, 12},
		{"the limit stays while the engine has free slots", []core.RunnerLoad{report(8, 1, 40), report(8, 1, 40), report(5, 0, 40)}, 8},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var s sequenceLimit
			for _, l := range tc.reports {
				s.update(l)
			}
			is.New(t).Equal(s.limit, tc.limit)
		})
	}
}

// Guards against a new owner that overloads engines that still run the calls of the former owner, and against own calls
// that are counted as other owners' calls because reports lag.
func TestCallsOfOtherOwners(t *testing.T) {
	at := func(s int, running, waiting int, used core.Tokens) []core.RunnerInfo {
		return []core.RunnerInfo{{
			ID: "e0", KVCapacity: 1000, Accepting: true, ReportedAt: t0.Add(time.Duration(s) * time.Second),
			Load: core.RunnerLoad{Running: running, Waiting: waiting, KVUsed: used, KVCapacity: 1000},
		}}
	}
	short := func(id string) core.Call { return core.Call{ID: core.RequestID(id), PromptTokens: 1, MaxTokens: 1} }
	for _, tc := range []struct {
		name    string
		do      func(ctrl *Controller)
		foreign int
		fits    bool
	}{
		{"sequences of another owner fill the engine", func(ctrl *Controller) { ctrl.SetRunners(at(1, 3, 1, 40)) }, 4, false},
		{"memory of another owner fills the engine", func(ctrl *Controller) { ctrl.SetRunners(at(1, 1, 0, 600)) }, 1, false},
		{"enough memory and slots are left by another owner", func(ctrl *Controller) { ctrl.SetRunners(at(1, 3, 0, 30)) }, 3, true},
		{"own calls are not counted twice", func(ctrl *Controller) {
			ctrl.SetRunners(at(1, 0, 0, 0))
			ctrl.Start(short("1"), "e0", 0)
			ctrl.Start(short("2"), "e0", 0)
			ctrl.SetRunners(at(2, 2, 0, 2))
		}, 0, true},
		{"a report that lags behind the end of own calls", func(ctrl *Controller) {
			ctrl.SetRunners(at(1, 0, 0, 0))
			ctrl.Start(short("1"), "e0", 0)
			ctrl.Start(short("2"), "e0", 0)
			ctrl.SetRunners(at(2, 0, 0, 0))
			ctrl.Finish("1")
			ctrl.Finish("2")
			ctrl.SetRunners(at(3, 2, 0, 2))
		}, 0, true},
		{"adopted calls are no longer another owner's", func(ctrl *Controller) {
			ctrl.SetRunners(at(1, 4, 0, 40))
			ctrl.Adopt(short("1"), "e0", 10)
			ctrl.Adopt(short("2"), "e0", 10)
			ctrl.Finish("1")
			ctrl.Finish("2")
		}, 2, true},
		{"the same report again changes nothing", func(ctrl *Controller) {
			ctrl.SetRunners(at(1, 4, 0, 40))
			ctrl.Adopt(short("1"), "e0", 10)
			ctrl.SetRunners(at(1, 4, 0, 40))
		}, 3, false},
		{"the other owner's calls have ended", func(ctrl *Controller) {
			ctrl.SetRunners(at(1, 4, 0, 40))
			ctrl.SetRunners(at(2, 0, 0, 0))
		}, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctrl := New(length.New(), WithRunningLimit(4))
			tc.do(ctrl)
			c := short("new")
			_, fits := ctrl.Choose(&c, 0, nil, false)
			is.Equal(ctrl.endpoints["e0"].foreignCalls, tc.foreign)
			is.Equal(fits, tc.fits)
		})
	}
}
