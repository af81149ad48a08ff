package edges

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"snipeshed/stand/fleet"
	"snipeshed/stand/plat"
	"snipeshed/stand/procs"
)

// startTimeout bounds the start of an instance.
const startTimeout = 20 * time.Second

// Fleet is a store in this process with instances and engines in processes of their own.
type Fleet struct {
	*procs.Launcher
	Store     *plat.Store
	Instances []*Instance
	dir       string

	mu       sync.Mutex
	closed   bool
	hosts    []*engineHost
	events   []EngineEvent
	watchers sync.WaitGroup
}

// Instance is one process of the edge command.
type Instance struct {
	ClientAddress, MetricsAddress string
	Cmd                           *exec.Cmd

	ready   string
	logPath string
}

// Start builds the binaries into a folder and returns a fleet without instances and engines.
func Start(dir string) (*Fleet, error) {
	l, err := procs.NewLauncher(dir)
	if err != nil {
		return nil, err
	}
	return &Fleet{Launcher: l, Store: plat.NewStore(0), dir: dir}, nil
}

// AddInstances starts n instances, with further settings, and waits until they are ready.
func (f *Fleet) AddInstances(n int, settings map[string]any) error {
	for range n {
		if err := f.addInstance(settings); err != nil {
			return err
		}
	}
	for _, in := range f.Instances {
		if err := fleet.Wait(startTimeout, "instance ready", in.Ready); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addInstance(settings map[string]any) error {
	in := &Instance{ClientAddress: plat.UnusedAddress(), MetricsAddress: plat.UnusedAddress(), ready: plat.UnusedAddress()}
	name := fmt.Sprintf("edge-%d", len(f.Instances)+1)
	peer := plat.UnusedAddress()
	s := map[string]any{
		"instance": name, "failure_domain": "d1", "client_address": in.ClientAddress, "ready_address": in.ready, "peer_address": peer,
		"metrics_address": in.MetricsAddress, "store_address": f.Store.Address(), "memory_mb": 120, "max_descriptors": 2870,
		"retry_ratio": 0.2, "retry_slack": 100,
	}
	for k, v := range settings {
		s[k] = v
	}
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	in.logPath = filepath.Join(f.dir, name+".log")
	out, err := os.Create(in.logPath)
	if err != nil {
		return err
	}
	defer out.Close() // the process has its own descriptor
	if in.Cmd, err = f.StartWithOutput(out, "snipeshed", "edge", "--settings", path); err != nil {
		return err
	}
	f.Instances = append(f.Instances, in)
	return nil
}

// Ready reports whether the instance answers that it is ready.
func (in *Instance) Ready() bool {
	resp, err := http.Get("http://" + in.ready + "/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// LogLines returns the lines of the instance's log that contain all of the given words.
func (in *Instance) LogLines(words ...string) ([]string, error) {
	b, err := os.ReadFile(in.logPath)
	if err != nil {
		return nil, err
	}
	var out []string
	for line := range strings.Lines(string(b)) {
		matches := true
		for _, w := range words {
			matches = matches && strings.Contains(line, w)
		}
		if matches {
			out = append(out, line)
		}
	}
	return out, nil
}

// Close ends all processes and the store.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	hosts := f.hosts
	f.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
	f.watchers.Wait()
	for _, h := range hosts {
		h.release()
	}
	f.Launcher.Close()
	f.Store.Close()
}

var errClosed = errors.New("the fleet is closed")
