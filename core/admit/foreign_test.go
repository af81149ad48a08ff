package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/core"
	"snipeshed/core/length"
)

// Guards against a new owner that fills engines which still run the calls of the former one, and against own calls that
// are taken for others' because reports lag.
func TestForeignCalls(t *testing.T) {
	at := func(s int, running, waiting int, used core.Tokens) []core.RunnerInfo {
		return []core.RunnerInfo{{
			ID: "e0", KVCapacity: 1000, Accepting: true, Reported: t0.Add(time.Duration(s) * time.Second),
			Load: core.RunnerLoad{Running: running, Waiting: waiting, KVUsed: used, KVCapacity: 1000},
		}}
	}
	short := func(id string) core.Call { return core.Call{ID: core.RequestID(id), PromptTokens: 1, MaxTokens: 1} }
	for _, tc := range []struct {
		name    string
		do      func(a *Admit)
		foreign int
		fits    bool
	}{
		{"sequences of another owner fill the engine", func(a *Admit) { a.SetRunners(at(1, 3, 1, 40)) }, 4, false},
		{"memory of another owner fills the engine", func(a *Admit) { a.SetRunners(at(1, 1, 0, 600)) }, 1, false},
		{"room beside another owner", func(a *Admit) { a.SetRunners(at(1, 3, 0, 30)) }, 3, true},
		{"own calls are not counted twice", func(a *Admit) {
			a.SetRunners(at(1, 0, 0, 0))
			a.Start(short("1"), "e0", 0)
			a.Start(short("2"), "e0", 0)
			a.SetRunners(at(2, 2, 0, 2))
		}, 0, true},
		{"a report that lags behind the end of own calls", func(a *Admit) {
			a.SetRunners(at(1, 0, 0, 0))
			a.Start(short("1"), "e0", 0)
			a.Start(short("2"), "e0", 0)
			a.SetRunners(at(2, 0, 0, 0))
			a.Finish("1")
			a.Finish("2")
			a.SetRunners(at(3, 2, 0, 2))
		}, 0, true},
		{"adopted calls are no longer another owner's", func(a *Admit) {
			a.SetRunners(at(1, 4, 0, 40))
			a.Adopt(short("1"), "e0", 10)
			a.Adopt(short("2"), "e0", 10)
			a.Finish("1")
			a.Finish("2")
		}, 2, true},
		{"the same report again changes nothing", func(a *Admit) {
			a.SetRunners(at(1, 4, 0, 40))
			a.Adopt(short("1"), "e0", 10)
			a.SetRunners(at(1, 4, 0, 40))
		}, 3, false},
		{"the other owner's calls have ended", func(a *Admit) {
			a.SetRunners(at(1, 4, 0, 40))
			a.SetRunners(at(2, 0, 0, 0))
		}, 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			a := New(length.New(), WithRunningLimit(4))
			tc.do(a)
			c := short("new")
			_, fits := a.Choose(&c, 0, nil, false)
			is.Equal(a.ends["e0"].foreign, tc.foreign)
			is.Equal(fits, tc.fits)
		})
	}
}
