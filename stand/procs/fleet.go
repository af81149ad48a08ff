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

// Number of processes of a fleet, and the time limit of each step of its start.
const (
	instanceCount = 3
	runnerCount   = 3
	startTimeout  = 20 * time.Second
)

// Fleet is a simulated platform, 3 model runners, 1 application runner and 3 instances, each in its own process.
type Fleet struct {
	*Launcher
	PlatformAddress, ApplicationAddress string
	ApplicationCmd                      *exec.Cmd
	Instances                           []*Instance
	// ApplyDuration is the time from the start of the ticket apply command until the ticket was in force at all instances.
	ApplyDuration time.Duration

	applicationDelay time.Duration
	runnerArgs       []string
}

// Option changes a Fleet.
type Option func(*Fleet)

// WithApplicationDelay sets how long the application takes for a call.
func WithApplicationDelay(d time.Duration) Option { return func(f *Fleet) { f.applicationDelay = d } }

// WithRunnerArgs passes further arguments to the model runners.
func WithRunnerArgs(args ...string) Option {
	return func(f *Fleet) { f.runnerArgs = append(f.runnerArgs, args...) }
}

// Start builds the binaries into a folder, starts the fleet and applies its configuration ticket with the command line.
func Start(dir string, opts ...Option) (*Fleet, error) {
	p, err := NewLauncher(dir)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Launcher: p}
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
	endpoints, err := f.startPlatformAndRunners()
	if err != nil {
		return err
	}
	const addressesPerInstance = 3 // for clients, peers and operators
	addresses, err := FreeAddresses(addressesPerInstance * instanceCount)
	if err != nil {
		return err
	}
	for i := range instanceCount {
		if err := f.addInstance(i, addresses[addressesPerInstance*i:]); err != nil {
			return err
		}
	}
	for _, in := range f.Instances {
		if err := fleet.Wait(startTimeout, "instance ready", in.Ready); err != nil {
			return err
		}
	}
	if err := f.awaitMembers(); err != nil {
		return err
	}
	return f.applyTicket(endpoints)
}

// startPlatformAndRunners starts the simulated platform and runners and returns the addresses of the model runners.
func (f *Fleet) startPlatformAndRunners() (endpoints []string, err error) {
	if _, f.PlatformAddress, err = f.StartWithAddress("standin", "platform", "--list-lag", "200ms"); err != nil {
		return nil, err
	}
	for range runnerCount {
		_, addr, err := f.StartWithAddress("standin", append([]string{"runner", "--load-time", "0s"}, f.runnerArgs...)...)
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, addr)
	}
	f.ApplicationCmd, f.ApplicationAddress, err = f.StartWithAddress("standin", "app", "--delay", f.applicationDelay.String())
	return endpoints, err
}

// awaitMembers waits until every instance lists all others in its status.
func (f *Fleet) awaitMembers() error {
	var statusErr error // of a status command; it ends the wait
	err := fleet.Wait(startTimeout, "every instance knows the others", func() bool {
		for _, in := range f.Instances {
			s, err := f.RunCommand("status", "--address", in.OperatorAddress)
			if err != nil {
				statusErr = err
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
	return errors.Join(statusErr, err)
}

// applyTicket applies the fleet's ticket and checks that each instance shows it.
func (f *Fleet) applyTicket(endpoints []string) error {
	ticket, err := protojson.Marshal(fleet.NewTicket(endpoints, []string{f.ApplicationAddress}))
	if err != nil {
		return err
	}
	ticketFile := filepath.Join(f.dir, "ticket.json")
	if err := os.WriteFile(ticketFile, ticket, 0o600); err != nil {
		return err
	}
	began := time.Now()
	out, err := f.RunCommand("ticket", "apply", "--wait", "--wait-timeout", "10s", "--address", f.Instances[1].OperatorAddress, ticketFile)
	if err != nil {
		return err
	}
	if want := fmt.Sprintf("in force at all %d instances", instanceCount); !strings.Contains(out, want) {
		return fmt.Errorf("output of ticket apply lacks %q: %s", want, out)
	}
	f.ApplyDuration = time.Since(began)
	for _, in := range f.Instances {
		shown, err := f.RunCommand("ticket", "show", "--address", in.OperatorAddress)
		if err != nil {
			return err
		}
		if !strings.Contains(shown, "kumamoto") {
			return fmt.Errorf("ticket show at %s lacks the team kumamoto: %s", in.OperatorAddress, shown)
		}
	}
	return nil
}
