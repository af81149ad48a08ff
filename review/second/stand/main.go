package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripted cases by name.
var cases = map[string]func(*lab) error{
	"stop":      runStop,
	"truncated": runTruncated,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "runner" {
		os.Exit(runRunner(os.Args[2], os.Args[3]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD_FILE | stand runner ID ADDRESS")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and returns its exit status.
func runCase(name, recordFile string) int {
	l, err := newLab(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case cannot run:", err)
		return exitNotRun
	}
	err = cases[name](l)
	l.close()
	switch {
	case err == nil:
		l.record("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		l.record("result: %v", err)
		return exitBroken
	default:
		l.record("result: the case could not run: %v", err)
		return exitNotRun
	}
}
