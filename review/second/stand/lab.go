package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"snipeshed/stand/plat"
)

const (
	program      = "target/snipeshed"
	readyTimeout = 10 * time.Second
	callHost     = "router.example"
)

// lab holds the processes of a case and its record.
type lab struct {
	dir       string
	troubled  bool // the disruption takes place
	begun     time.Time
	store     *plat.Store
	instances []*instance
	runners   []*runnerProcess

	mu  sync.Mutex
	out *os.File
}

// instance is a process of the program under test.
type instance struct {
	name, client, ready, peer string
	cmd                       *exec.Cmd
	exited                    chan struct{}
}

// newLab starts the store; the record goes to a file.
func newLab(recordFile string) (*lab, error) {
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, troubled: os.Getenv("TROUBLE") != "0", begun: time.Now(), store: plat.NewStore(0), out: out}
	l.record("disruption: %v", l.troubled)
	return l, nil
}

// record writes a line to the record, with the time since the start of the case.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%8.3f s  %s\n", time.Since(l.begun).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, inst := range l.instances {
		_ = inst.cmd.Process.Kill() // fails when the process has ended
		<-inst.exited
	}
	for _, r := range l.runners {
		r.kill()
	}
	l.store.Close()
	_ = os.RemoveAll(l.dir) // a folder that stays does no harm
}

// freePort returns a port that is free for TCP at a loopback address.
func freePort(host string) (string, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	_, port, err := net.SplitHostPort(ln.Addr().String())
	return port, err
}

// newInstance chooses the addresses of an instance, each instance at a loopback address of its own.
func newInstance(n int) (*instance, error) {
	host := fmt.Sprintf("127.0.20.%d", n)
	inst := &instance{name: fmt.Sprintf("edge-zone-a-%d", n)}
	for _, address := range []*string{&inst.client, &inst.ready, &inst.peer} {
		port, err := freePort(host)
		if err != nil {
			return nil, err
		}
		*address = net.JoinHostPort(host, port)
	}
	return inst, nil
}

// startInstances starts instances with the settings of a small deployment and waits until all are ready.
func (l *lab) startInstances(n int) error {
	var seeds []string
	for i := 1; i <= n; i++ {
		inst, err := newInstance(i)
		if err != nil {
			return err
		}
		l.instances = append(l.instances, inst)
		seeds = append(seeds, inst.peer)
	}
	for i, inst := range l.instances {
		if err := l.startInstance(inst, seeds); err != nil {
			l.instances = l.instances[:i]
			return err
		}
	}
	for _, inst := range l.instances {
		if err := inst.awaitReady(); err != nil {
			return err
		}
	}
	l.record("%d instances are ready", n)
	return nil
}

func (l *lab) startInstance(inst *instance, seeds []string) error {
	settings, err := json.Marshal(map[string]any{
		"instance": inst.name, "failure_domain": "zone-a", "client_address": inst.client, "ready_address": inst.ready,
		"peer_address": inst.peer, "seeds": seeds, "store_address": l.store.Address(), "memory_mb": 206, "max_descriptors": 2870,
		"stop_timeout_s": graceSeconds, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 126,
	})
	if err != nil {
		return err
	}
	file := filepath.Join(l.dir, inst.name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(l.dir, inst.name+".log"))
	if err != nil {
		return err
	}
	defer out.Close() // the process has a descriptor of its own
	inst.cmd = exec.Command(program, "edge")
	inst.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "SNIPESHED_BOOT=" + file, "EVACUATION_TIMEOUT_MS=", "COLD_EXCESS=", "COLD_SLACK="}
	inst.cmd.Stdout, inst.cmd.Stderr = out, out
	if err := inst.cmd.Start(); err != nil {
		return err
	}
	inst.exited = make(chan struct{})
	go func() {
		_ = inst.cmd.Wait() // the error only reports the signal
		l.record("%s has ended", inst.name)
		close(inst.exited)
	}()
	return nil
}

func (inst *instance) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + inst.ready + "/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", inst.name)
}

// Objects of the store.
type (
	routeSpec struct {
		Name        string `json:"name"`
		Host        string `json:"host"`
		PathPrefix  string `json:"path_prefix"`
		Kind        string `json:"kind"`
		TimeoutMs   int    `json:"timeout_ms"`
		ObjectiveMs int    `json:"latency_goal_ms"`
		Priority    int    `json:"priority"`
		Service     string `json:"service"`
		MaxAttempts int    `json:"max_attempts"`
		Sticky      bool   `json:"sticky"`
		Resumable   bool   `json:"resumable"`
		GapMs       int    `json:"gap_target_ms"`
	}
	engineSpec struct {
		Slots      int     `json:"slots"`
		Capacity   int     `json:"kv_capacity_tokens"`
		TokenBytes int     `json:"kv_token_bytes"`
		LinkMbps   float64 `json:"link_mbps"`
		Moves      bool    `json:"moves"`
		Backups    bool    `json:"backups"`
		Stride     int     `json:"stride"`
		HoldMs     float64 `json:"hold_ms"`
	}
	serviceSpec struct {
		Name       string     `json:"name"`
		HealthPath string     `json:"health_path"`
		MaxConns   int        `json:"max_conns"`
		Engine     engineSpec `json:"engine"`
	}
	limitsSpec struct {
		HeaderBytes     int `json:"max_header_bytes"`
		BodyBytes       int `json:"max_body_bytes"`
		HeaderTimeoutMs int `json:"header_timeout_ms"`
		IdleTimeoutMs   int `json:"idle_timeout_ms"`
	}
	configSpec struct {
		Version  int           `json:"version"`
		Routes   []routeSpec   `json:"routes"`
		Services []serviceSpec `json:"services"`
		Limits   limitsSpec    `json:"limits"`
		Tenants  []struct{}    `json:"tenants"`
	}
	runnerSpec struct {
		Service    string  `json:"service"`
		Address    string  `json:"address"`
		Zone       string  `json:"zone"`
		Version    string  `json:"version"`
		Slots      int     `json:"slots"`
		State      string  `json:"state"`
		ColdLeftMs float64 `json:"cold_left_ms"`
		Seq        int     `json:"seq"`
		Born       int64   `json:"born"`
	}
)

// Paths of the routes.
const (
	longPath  = "/draft/"
	shortPath = "/tag/"
)

// configure writes the configuration, with a route of each kind of stream; moves tells whether generations can be moved.
func (l *lab) configure(moves bool) {
	l.store.Put("config", "main", configSpec{
		Version: 7,
		Routes: []routeSpec{
			{Name: "draft", Host: callHost, PathPrefix: longPath, Kind: "streaming", TimeoutMs: 39000, ObjectiveMs: 4000, Priority: 2, Service: llmService, MaxAttempts: 1, Sticky: true, GapMs: 180},
			{Name: "tag", Host: callHost, PathPrefix: shortPath, Kind: "streaming", TimeoutMs: 6000, ObjectiveMs: 1500, Service: llmService, MaxAttempts: 2, Sticky: true, Resumable: true, GapMs: 180},
		},
		Services: []serviceSpec{{
			Name: llmService, HealthPath: "/health", MaxConns: 503,
			Engine: engineSpec{Slots: 24, Capacity: 34326, TokenBytes: 96256, LinkMbps: 14000, Moves: moves, Backups: moves, Stride: 4, HoldMs: 2000},
		}},
		Limits:  limitsSpec{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants: []struct{}{},
	})
}

// llmService is the service of the model runners.
const llmService = "llm-pool"

// register writes the entry of a runner.
func (l *lab) register(r *runnerProcess) {
	l.store.Put("servers", r.id, runnerSpec{
		Service: llmService, Address: r.address, Zone: "zone-a", Version: "v1", Slots: 24, State: "ready", Seq: r.starts, Born: r.born,
	})
}

// startRunners starts model runners and registers them.
func (l *lab) startRunners(n int) error {
	for i := 1; i <= n; i++ {
		port, err := freePort("127.0.30.1")
		if err != nil {
			return err
		}
		r := &runnerProcess{lab: l, id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), address: net.JoinHostPort("127.0.30.1", port), sent: map[string]int{}}
		if err := r.start(); err != nil {
			return err
		}
		l.runners = append(l.runners, r)
		l.register(r)
	}
	return nil
}

// head returns the head of a caller's request with an empty body.
func head(path, id string, deadlineMs, promptTokens, maxTokens int, connection string) string {
	return strings.Join([]string{
		"POST " + path + "2f HTTP/1.1", "Host: " + callHost, "Snipeshed-Attempt-Id: " + id, "Snipeshed-Model: m",
		fmt.Sprintf("Snipeshed-Token-Count: %d,%d", promptTokens, maxTokens),
		fmt.Sprintf("Snipeshed-Prompt-Prefix: 5c1e07a2:%d,%s:10", promptTokens-10, id),
		fmt.Sprintf("Snipeshed-Deadline-Ms: %d", deadlineMs), "Content-Length: 0", "Connection: " + connection, "", "",
	}, "\r\n")
}
