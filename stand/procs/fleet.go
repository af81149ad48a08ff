package procs

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"snipeshed/stand/fleet"
)

// Size of a fleet and the bound of each step of its start.
const (
	instances  = 3
	runners    = 3
	startLimit = 20 * time.Second
)

// Fleet is the platform, 3 model runners, 1 application runner and 3 instances, each a process.
type Fleet struct {
	*Procs
	Platform, Application string
	App                   *exec.Cmd
	Instances             []*Instance
	// Applied is the time from the start of the command that applied the ticket until it was in force everywhere.
	Applied time.Duration

	delay      time.Duration
	runnerArgs []string
}

// Option changes a Fleet.
type Option func(*Fleet)

// WithDelay sets the time that the application takes for a call.
func WithDelay(d time.Duration) Option { return func(f *Fleet) { f.delay = d } }

// WithRunnerArgs passes further arguments to the model runners.
func WithRunnerArgs(args ...string) Option {
	return func(f *Fleet) { f.runnerArgs = append(f.runnerArgs, args...) }
}

// Start builds the binaries into a folder, starts the fleet and applies its ticket through the command line.
func Start(dir string, opts ...Option) (*Fleet, error) {
	p, err := New(dir)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Procs: p}
	for _, opt := range opts {
		opt(f)
	}
	if err := f.startAll(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll() error {
	endpoints, err := f.startStandins()
	if err != nil {
		return err
	}
	const addresses = 3 // for clients, peers and operators
	ports, err := FreePorts(addresses * instances)
	if err != nil {
		return err
	}
	for i := range instances {
		if err := f.addInstance(i, ports[addresses*i:]); err != nil {
			return err
		}
	}
	for _, in := range f.Instances {
		if err := fleet.Wait(startLimit, "instance ready", in.Ready); err != nil {
			return err
		}
	}
	if err := f.awaitMembers(); err != nil {
		return err
	}
	return f.configure(endpoints)
}

// startStandins returns the addresses of the model runners.
func (f *Fleet) startStandins() (endpoints []string, err error) {
	if _, f.Platform, err = f.RunAddress("standin", "platform", "--list-lag", "200ms"); err != nil {
		return nil, err
	}
	for range runners {
		_, addr, err := f.RunAddress("standin", append([]string{"runner", "--load-time", "0s"}, f.runnerArgs...)...)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, addr)
	}
	f.App, f.Application, err = f.RunAddress("standin", "app", "--delay", f.delay.String())
	return endpoints, err
}

// awaitMembers waits until every instance knows the others.
func (f *Fleet) awaitMembers() error {
	var failed error // a status command that fails ends the wait
	err := fleet.Wait(startLimit, "every instance knows the others", func() bool {
		for _, in := range f.Instances {
			s, err := f.Command("status", "--address", in.Operator)
			if err != nil {
				failed = err
				return true
			}
			for i := range f.Instances {
				if !strings.Contains(s, instanceID(i)) {
					return false
				}
			}
		}
		return true
	})
	return errors.Join(failed, err)
}

// configure applies the fleet's ticket and reads it back at each instance.
func (f *Fleet) configure(endpoints []string) error {
	ticket, err := protojson.Marshal(fleet.NewTicket(endpoints, []string{f.Application}))
	if err != nil {
		return err
	}
	file := filepath.Join(f.dir, "ticket.json")
	if err := os.WriteFile(file, ticket, 0o600); err != nil {
		return err
	}
	began := time.Now()
	out, err := f.Command("ticket", "apply", "--wait", "--wait-timeout", "10s", "--address", f.Instances[1].Operator, file)
	if err != nil {
		return err
	}
	if want := fmt.Sprintf("in force at all %d instances", instances); !strings.Contains(out, want) {
		return fmt.Errorf("ticket apply did not report %q: %s", want, out)
	}
	f.Applied = time.Since(began)
	for _, in := range f.Instances {
		shown, err := f.Command("ticket", "show", "--address", in.Operator)
		if err != nil {
			return err
		}
		if !strings.Contains(shown, "kumamoto") {
			return fmt.Errorf("ticket show at %s lacks the team kumamoto: %s", in.Operator, shown)
		}
	}
	return nil
}
