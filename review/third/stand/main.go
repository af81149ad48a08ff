package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs; it is below the two minutes that a case may take.
const maxRunTime = 115 * time.Second

// caseFunc plays a case and reports whether the rule was broken.
type caseFunc func(*world) (broken bool, err error)

// cases are the cases by the name that run.sh gives.
var cases = map[string]caseFunc{
	"crowd":  playCrowd,
	"cut":    playCut,
	"rewind": playRewind,
	"slow":   playSlow,
}

func main() { os.Exit(runCase(os.Args[1:])) }

func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: third CASE FOLDER")
		return exitNotRun
	}
	w, err := newWorld(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan result, 1)
	go func() {
		broken, err := cases[args[0]](w)
		done <- result{broken, err}
	}()
	select {
	case r := <-done:
		return w.report(r.broken, r.err)
	case s := <-stopped:
		return w.report(false, fmt.Errorf("it was stopped: %v", s))
	case <-time.After(maxRunTime):
		return w.report(false, fmt.Errorf("the case took longer than %v", maxRunTime))
	}
}

// report writes the outcome and returns the exit code.
func (w *world) report(broken bool, err error) int {
	code, text := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, text = exitNotRun, "the case could not run: "+err.Error()
	case broken:
		code, text = exitBroken, "the rule was broken"
	}
	w.log("%s", text)
	fmt.Println(text)
	return code
}
