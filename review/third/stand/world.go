package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// world holds everything that a case has started.
type world struct {
	*record
	site
	trouble   bool
	backups   bool   // runners keep copies for each other
	dir       string // temporary
	store     *store
	runners   []*runner
	instances []*instance
	ports     ports
	ended     chan struct{} // closed at the end of the case
}

// ports are the ports of all instances, each of which has an IP address of its own.
type ports struct{ front, ready, control, peer, metrics int }

// instance is one process of the program under review.
type instance struct {
	name string
	ip   string
	cmd  *exec.Cmd
	log  *os.File
}

func newWorld(dir string, trouble bool) (*world, error) {
	r, err := newRecord(dir)
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, trouble: trouble, dir: tmp, ended: make(chan struct{})}
	w.log("disruption: %v", trouble)
	if w.store, err = newStore(w.record); err != nil {
		return nil, err
	}
	for _, p := range []*int{&w.ports.front, &w.ports.ready, &w.ports.control, &w.ports.peer, &w.ports.metrics} {
		if *p, err = freePort(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// maxInstances is the number of instances that a case may start, each at a loopback address of its own.
const maxInstances = 3

func instanceIP(i int) string { return fmt.Sprintf("127.0.1.%d", i+1) }

// freePort returns a port that is free at the addresses of all instances, for TCP and UDP.
func freePort() (int, error) {
	for range 20 {
		ln, err := net.Listen("tcp", net.JoinHostPort(instanceIP(0), "0"))
		if err != nil {
			return 0, err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		ln.Close()
		if isFree(port) {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

func isFree(port int) bool {
	for i := range maxInstances {
		address := net.JoinHostPort(instanceIP(i), fmt.Sprint(port))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		ln.Close()
		c, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		c.Close()
	}
	return true
}

// settings are the settings of one instance, as deploy/settings.json gives them.
type settings struct {
	Instance       string   `json:"instance"`
	FailureDomain  string   `json:"failure_domain"`
	ClientAddress  string   `json:"client_address"`
	ReadyAddress   string   `json:"ready_address"`
	PeerAddress    string   `json:"peer_address"`
	MetricsAddress string   `json:"metrics_address"`
	Seeds          []string `json:"seeds"`
	StoreAddress   string   `json:"store_address"`
	MemoryMB       int      `json:"memory_mb"`
	MaxDescriptors int      `json:"max_descriptors"`
	StopTimeoutS   float64  `json:"stop_timeout_s"`
	RetryRatio     float64  `json:"retry_ratio"`
	RetryWindowS   float64  `json:"retry_window_s"`
	RetrySlack     float64  `json:"retry_slack"`
}

// startInstances starts n instances, in the zones in turn, with the command and the environment of the deploy file.
func (w *world) startInstances(n int, env ...string) error {
	for i := range n {
		in := &instance{name: fmt.Sprintf("edge-%d", i+1), ip: instanceIP(i)}
		at := func(port int) string { return net.JoinHostPort(in.ip, fmt.Sprint(port)) }
		s := settings{
			Instance: in.name, FailureDomain: w.zones[i%len(w.zones)], ClientAddress: at(w.ports.front), ReadyAddress: at(w.ports.ready),
			PeerAddress: at(w.ports.peer), MetricsAddress: at(w.ports.metrics), StoreAddress: w.store.address(), MemoryMB: w.memoryMB,
			MaxDescriptors: w.maxDescriptors, StopTimeoutS: 8, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: w.retrySlack,
		}
		for j := range min(n, maxSeeds) {
			s.Seeds = append(s.Seeds, net.JoinHostPort(instanceIP(j), fmt.Sprint(w.ports.control)))
		}
		if err := w.startInstance(in, s, env); err != nil {
			return err
		}
		w.instances = append(w.instances, in)
	}
	return nil
}

// maxSeeds is the number of instances that the platform names as seeds.
const maxSeeds = 3

func (w *world) startInstance(in *instance, s settings, env []string) error {
	b, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, in.name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	if in.log, err = os.Create(filepath.Join(w.dir, in.name+".log")); err != nil {
		return err
	}
	in.cmd = exec.Command("target/snipeshed", "edge")
	in.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "SNIPESHED_BOOT=" + path}, env...)
	in.cmd.Stdout, in.cmd.Stderr = in.log, in.log
	w.log("starts %s at %s:%d", in.name, in.ip, w.ports.front)
	return in.cmd.Start()
}

// awaitReady waits until all instances are ready.
func (w *world) awaitReady() error {
	end := time.Now().Add(20 * time.Second)
	for _, in := range w.instances {
		for !w.isReady(in) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", in.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.log("all instances are ready")
	return nil
}

func (w *world) isReady(in *instance) bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/readiness", in.ip, w.ports.ready))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
	return resp.StatusCode == http.StatusOK
}

// front returns the address for clients of an instance.
func (w *world) front(in *instance) string { return fmt.Sprintf("%s:%d", in.ip, w.ports.front) }

// close ends all processes that the case has started.
func (w *world) close() {
	close(w.ended)
	for _, in := range w.instances {
		_ = in.cmd.Process.Signal(syscall.SIGTERM) // fails if it has ended
	}
	time.Sleep(300 * time.Millisecond)
	for _, in := range w.instances {
		_ = in.cmd.Process.Kill() // fails if it has ended
		_ = in.cmd.Wait()         // reports the signal
		in.log.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(w.dir) // a rest in the temporary folder does no harm
	}
	w.record.close()
}
