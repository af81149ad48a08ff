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

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// cases are the scripted cases by name; each returns whether its rule held.
var cases = map[string]func(*bed) (held bool, err error){
	"left-running": runLeftRunning,
	"memory":       runMemory,
	"outage-exit":  runOutageExit,
	"cut-stream":   runCrash,
	"power-loss":   runPowerLoss,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 3 && os.Args[1] == "runner" {
		return serveUnframed(os.Args[2])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER, in the repository")
		return exitNotRun
	}
	b, err := newBed(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	b.endOn(syscall.SIGTERM, os.Interrupt)
	held, err := cases[os.Args[1]](b)
	switch {
	case err != nil:
		b.logf("the case could not run: %v", err)
		return exitNotRun
	case held:
		b.logf("the rule held")
		return exitHeld
	default:
		b.logf("the rule was broken")
		return exitBroken
	}
}

// endOn ends the program and its processes on a signal or after maxRunTime.
func (b *bed) endOn(signals ...os.Signal) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	go func() {
		select {
		case <-c:
		case <-time.After(maxRunTime):
		}
		b.close()
		os.Exit(exitNotRun)
	}()
}
