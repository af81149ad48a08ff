package edges

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"snipeshed/stand/plat"
)

// HostBehavior is what the host of an engine does after the engine has crashed.
type HostBehavior string

// Values of HostBehavior. Unless noted, the engine is started again after downTime.
const (
	Refuses     HostBehavior = "refuses"       // connections are refused meanwhile
	RestartsNow HostBehavior = "restarts_now"  // the engine is started again at once
	KeepsPort   HostBehavior = "keeps_port"    // connections are accepted and wait for the next process
	FallsSilent HostBehavior = "falls_silent"  // connections stay open without an answer; the next process has another address
	downTime                 = 3 * time.Second // of a crashed engine
)

// maxAddresses is the number of addresses that are tried for an engine.
const maxAddresses = 10

// EngineEvent is a request that reached an engine, or the crash of one.
type EngineEvent struct {
	At      time.Time
	Engine  string
	Kind    string // "request" or "crash"
	Attempt string
}

// engineHost runs one engine process after the other.
type engineHost struct {
	f        *Fleet
	id       string
	behavior HostBehavior
	args     []string
	address  string
	file     *os.File // of the listener
	cmds     []*exec.Cmd
	stop     chan struct{}
}

// AddEngine starts a crash engine with an id on a host that behaves in the given way; args go to the engine's command.
func (f *Fleet) AddEngine(id string, b HostBehavior, args ...string) error {
	h := &engineHost{f: f, id: id, behavior: b, args: args, address: plat.UnusedAddress(), stop: make(chan struct{})}
	if b == FallsSilent {
		h.args = append(h.args, "--freeze")
	}
	lines, err := h.start()
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	f.watchers.Go(func() { h.run(lines) })
	return nil
}

// start starts the next engine process and writes its entry.
func (h *engineHost) start() (*bufio.Scanner, error) {
	if h.file == nil {
		ln, err := net.Listen("tcp", h.address)
		for n := 0; err != nil && len(h.cmds) == 0 && n < maxAddresses; n++ { // taken since it was chosen
			h.address = plat.UnusedAddress()
			ln, err = net.Listen("tcp", h.address)
		}
		if err != nil {
			return nil, err
		}
		h.file, err = ln.(*net.TCPListener).File()
		ln.Close() // the file is a duplicate
		if err != nil {
			return nil, err
		}
	}
	started := time.Now().UnixMilli()
	cmd := exec.Command(filepath.Join(h.f.dir, "standin"), append([]string{"crash", "--id", h.id, "--started", fmt.Sprint(started)}, h.args...)...)
	cmd.ExtraFiles = []*os.File{h.file}
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := h.startCommand(cmd); err != nil {
		return nil, err
	}
	if h.behavior != KeepsPort && h.behavior != RestartsNow {
		_ = h.file.Close() // the process has its own descriptor
		h.file = nil
	}
	h.f.Store.Put("servers", h.id, map[string]any{
		"service": "lm", "address": h.address, "zone": "d1", "version": "v1", "slots": 24, "state": "ready", "cold_left_ms": 0,
		"seq": 1, "born": started,
	})
	return bufio.NewScanner(out), nil
}

func (h *engineHost) startCommand(cmd *exec.Cmd) error {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if h.f.closed {
		return errClosed
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmds = append(h.cmds, cmd)
	return nil
}

// run records what the engine prints and starts it again after each crash.
func (h *engineHost) run(lines *bufio.Scanner) {
	for lines != nil {
		h.record(lines)
		if h.behavior == FallsSilent {
			h.address = plat.UnusedAddress()
		} else {
			_ = h.cmds[len(h.cmds)-1].Wait() // the exit code says that it has crashed
		}
		if h.behavior != RestartsNow && !h.wait(downTime) {
			return
		}
		lines, _ = h.start() // fails if the fleet is closed
	}
}

// record records the lines of an engine until it crashes or ends.
func (h *engineHost) record(lines *bufio.Scanner) {
	for lines.Scan() {
		kind, attempt, _ := strings.Cut(lines.Text(), " ")
		h.f.mu.Lock()
		h.f.events = append(h.f.events, EngineEvent{At: time.Now(), Engine: h.id, Kind: kind, Attempt: attempt})
		h.f.mu.Unlock()
		if kind == "crash" {
			return
		}
	}
}

// wait waits unless the fleet is closed.
func (h *engineHost) wait(d time.Duration) bool {
	select {
	case <-h.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// kill ends the host's processes.
func (h *engineHost) kill() {
	close(h.stop)
	for _, cmd := range h.cmds {
		_ = cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
	}
}

// release waits for the processes, after kill and run have ended.
func (h *engineHost) release() {
	for _, cmd := range h.cmds {
		if cmd.ProcessState == nil {
			_ = cmd.Wait() // reports the signal
		}
	}
	if h.file != nil {
		_ = h.file.Close()
	}
}

// EngineEvents returns what happened at the engines so far.
func (f *Fleet) EngineEvents() []EngineEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]EngineEvent(nil), f.events...)
}
