package proof_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"snipeshed/stand/link"
	"snipeshed/stand/plat"
	"snipeshed/stand/procs"
)

// soakSeeds are the seeds that CI runs; a seed that has failed stays in the list with a note on its cause.
var soakSeeds = []uint64{
	20261204,
	1114051, // an instance was not ready before the first fault, in a run alongside CI; cause unknown, its output was not kept
}

const (
	soakInstances = 3 // unless SOAK_INSTANCES is set
	soakCallers   = 8
	// soakReadyTimeout bounds the time until all instances are ready, at the start and after the last fault.
	soakReadyTimeout = 6 * time.Second
)

// soakRun is a run of instances as processes, with simulated engines and store, while faults are injected.
type soakRun struct {
	t         *testing.T
	seed      uint64
	dir       string
	procs     *procs.Launcher
	store     *plat.Store
	instances []*soakInstance

	mu             sync.Mutex
	engines        map[string]*plat.Engine // running engines, by id
	links          map[string]*link.Link   // TCP forwarders in front of the engines, by engine id
	stoppedEngines []*plat.Engine
	enginesStarted int
	calls          []soakCall
	configMu       sync.Mutex // guards configVersion and its order in the store
	configVersion  int
	// plannedOnly is set for runs in which everything that happens to the instances is planned work or a fault of the store.
	plannedOnly bool
	// restores is set for runs in which the store comes back from copies of itself.
	restores bool
	entries  soakEntries
}

type soakInstance struct {
	name, readyAddress, settingsFile string
	storeLink, callerLink            *link.Link
	cmd                              *exec.Cmd
}

// soakCall is a call or a stream, with the status that its caller received; 0 stands for a failed connection, also after the head.
type soakCall struct {
	attempt    string
	status     int
	idempotent bool
}

// TestSoak guards against calls that run twice or that ran although they were refused, and against crossed or incomplete
// answers. Random faults overlap: processes are terminated, paused, killed and restarted, engines drain and crash, links fail,
// and the store fails for all instances or for one. SOAK_SEED, SOAK_SEEDS, SOAK_SECONDS and SOAK_INSTANCES select the seeds, the
// duration and the number of instances.
func TestSoak(t *testing.T) { soak(t, soakSeeds, false, false) }

// TestPlannedSoak guards against calls that are lost in planned work: instances are stopped, reload their settings and start again,
// configurations change and engines drain, in series and at once, while the store fails now and then. Callers use open connections
// until the process is gone.
func TestPlannedSoak(t *testing.T) { soak(t, soakSeeds[:1], true, false) }

// TestRestoredSoak guards against calls that are lost, and against instances that no longer follow the store, after it has come back from
// a copy of itself, again and again and in the midst of planned work.
func TestRestoredSoak(t *testing.T) { soak(t, soakSeeds[:1], true, true) }

func soak(t *testing.T, seeds []uint64, plannedOnly, restores bool) {
	if first, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64); err == nil {
		seeds = nil
		for i := range max(intFromEnv("SOAK_SEEDS", 1), 1) {
			seeds = append(seeds, first+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSoak(t, seed)
			s.plannedOnly, s.restores = plannedOnly, restores
			defer s.close()
			s.run(time.Duration(intFromEnv("SOAK_SECONDS", 8)) * time.Second)
		})
	}
}

func intFromEnv(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func newSoak(t *testing.T, seed uint64) *soakRun {
	dir := t.TempDir()
	p, err := procs.NewLauncher(dir)
	if err != nil {
		t.Fatal(err)
	}
	s := &soakRun{t: t, seed: seed, dir: dir, procs: p, store: plat.NewStore(0), engines: map[string]*plat.Engine{}, links: map[string]*link.Link{}}
	for range 3 {
		s.addEngine("lm")
		s.addEngine("app")
	}
	s.configure()
	for i := range intFromEnv("SOAK_INSTANCES", soakInstances) {
		s.addInstance(i)
	}
	s.awaitReady("at the start")
	return s
}

func (s *soakRun) close() {
	s.procs.Close()
	for _, inst := range s.instances {
		_ = inst.storeLink.Close() // its users have ended; an error changes nothing
		_ = inst.callerLink.Close()
	}
	for _, l := range s.links {
		_ = l.Close() // as above
	}
	for _, e := range s.engines {
		e.Close()
	}
	s.store.Close()
}

func (s *soakRun) addEngine(service string) {
	s.enginesStarted++
	e := plat.NewEngine(fmt.Sprintf("%s-%d", service, s.enginesStarted))
	e.Events, e.Interval = 60, 10*time.Millisecond
	e.CallHandler = func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(soakWorkTime(r))
		fmt.Fprintf(w, "answer of %s to %s", e.ID, r.URL.RequestURI())
	}
	if s.enginesStarted%2 == 0 {
		e.KeepGenerating()
	}
	l := s.startLink(e.Address())
	e.SetLinkAddress(l.Addr())
	s.engines[e.ID], s.links[e.ID] = e, l
	s.entries.put(s.store, e.ID, e.ObjectSpec(service, "d1", "ready"))
}

func (s *soakRun) startLink(target string) *link.Link {
	l := link.New(target)
	if err := l.Start(); err != nil {
		s.t.Fatal(err)
	}
	return l
}

func (s *soakRun) configure() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.configVersion++
	s.writeConfig()
}

// rewriteConfig writes the newest configuration again.
func (s *soakRun) rewriteConfig() {
	s.configMu.Lock()
	defer s.configMu.Unlock()
	s.writeConfig()
}

// writeConfig writes the newest configuration; s.configMu is held.
func (s *soakRun) writeConfig() {
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 4000,
			"latency_goal_ms": 500, "service": service, "max_attempts": attempts,
		}
	}
	s.store.Put("config", "main", map[string]any{
		"version": s.configVersion,
		"routes":  []any{route("look", "idempotent", "app", 2), route("book", "non_idempotent", "app", 2), route("long", "streaming", "lm", 1)},
		"services": []any{map[string]any{"name": "app"}, map[string]any{"name": "lm", "engine": map[string]any{
			"slots": 16, "kv_capacity_tokens": 100000, "kv_token_bytes": 1000, "link_mbps": 14000, "moves": true, "backups": true, "stride": 1,
		}}},
	})
}

func (s *soakRun) addInstance(i int) {
	// A random loopback address for each instance, so that no outgoing connection of another process takes the port.
	host := fmt.Sprintf("127.%d.%d.%d:", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(254))
	client := host + "7101"
	inst := &soakInstance{name: fmt.Sprintf("edge-%d", i), readyAddress: host + "7102", storeLink: s.startLink(s.store.Address()), callerLink: s.startLink(client)}
	inst.settingsFile = filepath.Join(s.dir, inst.name+".json")
	b, err := json.Marshal(map[string]any{
		"instance": inst.name, "failure_domain": "d1", "client_address": client, "ready_address": inst.readyAddress, "peer_address": host + "7103",
		"store_address": inst.storeLink.Addr(), "memory_mb": 200, "max_descriptors": 1000, "stop_timeout_s": 3, "retry_slack": 100,
	})
	if err == nil {
		err = os.WriteFile(inst.settingsFile, b, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.instances = append(s.instances, inst)
	s.start(inst)
}

func (s *soakRun) start(inst *soakInstance) {
	out, err := os.OpenFile(s.logPath(inst), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	defer out.Close() // the process has its own descriptor
	if inst.cmd, err = s.procs.StartWithOutput(out, "snipeshed", "edge", "--settings", inst.settingsFile); err != nil {
		s.t.Fatal(err)
	}
}

// logPath returns the file to which the processes of an instance write their output.
func (s *soakRun) logPath(inst *soakInstance) string { return filepath.Join(s.dir, inst.name+".log") }

// logTail returns the last 4 KiB of an instance's output.
func (s *soakRun) logTail(inst *soakInstance) string {
	const end = 4 << 10
	b, err := os.ReadFile(s.logPath(inst))
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-end):])
}

// restart ends the process of an instance with a signal and starts a new one.
func (s *soakRun) restart(inst *soakInstance, sig os.Signal) {
	_ = inst.cmd.Process.Signal(sig) // fails when the process has already ended
	_ = inst.cmd.Wait()              // the error only reports the signal
	s.start(inst)
}

// run injects faults for the duration d while callers send calls, then waits until all instances are ready and checks the calls.
func (s *soakRun) run(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var g sync.WaitGroup
	for i := range soakCallers {
		g.Go(func() { s.runCaller(ctx, i) })
	}
	if s.restores {
		g.Go(func() { s.restoreStore(ctx) })
	}
	r := rand.New(rand.NewPCG(s.seed, 0))
	for ctx.Err() == nil {
		s.injectFault(ctx, r, &g)
		time.Sleep(time.Duration(100+r.IntN(500)) * time.Millisecond)
	}
	g.Wait()
	s.awaitReady("after the faults")
	if s.restores {
		s.checkFollowsStore()
	}
	s.checkCalls()
}

// runCaller sends calls of all kinds, one after the other over keep-alive connections, until ctx ends.
func (s *soakRun) runCaller(ctx context.Context, caller int) {
	c := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		inst := s.instances[(caller+n)%len(s.instances)]
		attempt := fmt.Sprintf("c%d-%d", caller, n)
		path := []string{"/book/" + attempt, "/look/" + attempt, "/long/stream"}[n%3]
		s.send(c, inst, path, attempt)
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *soakRun) send(c *http.Client, inst *soakInstance, path, attempt string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+inst.callerLink.Addr()+path, strings.NewReader(""))
	if err != nil {
		s.t.Error(err)
		return
	}
	req.Host = "a.example"
	req.Header.Set("Snipeshed-Attempt-Id", attempt)
	req.Header.Set("Snipeshed-Token-Count", "500,60")
	resp, err := c.Do(req)
	if err != nil {
		s.recordCall(attempt, path, 0)
		return
	}
	defer resp.Body.Close()
	status := resp.StatusCode
	defer func() { s.recordCall(attempt, path, status) }()
	if resp.StatusCode != http.StatusOK {
		return
	}
	if resp.Header.Get("Snipeshed-Attempt-Id") != attempt || resp.Header.Get("Snipeshed-Server-Seal") == "" {
		s.t.Errorf("%s %s: answer belongs to another request or lacks Snipeshed-Server-Seal: %v", attempt, path, resp.Header)
	}
	if strings.HasPrefix(path, "/long/") {
		if !s.checkStream(attempt, resp.Body) {
			status = 0
		}
		return
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		status = 0
	}
	if err == nil && !strings.HasSuffix(string(b), " to "+path) {
		s.t.Errorf("%s: wrong answer %q", attempt, b)
	}
}

// checkStream checks that each event arrives once and in order, and that a stream that ends without an error is complete. It reports
// whether the stream was complete.
func (s *soakRun) checkStream(attempt string, body io.Reader) bool {
	next := 1
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		id, ok := strings.CutPrefix(sc.Text(), "id: ")
		if !ok {
			continue
		}
		if id != strconv.Itoa(next) {
			s.t.Errorf("%s: received event %s, want %d", attempt, id, next)
			return false
		}
		next++
	}
	if sc.Err() == nil && next != 61 {
		s.t.Errorf("%s: stream ends without an error after event %d of 60", attempt, next-1)
	}
	return next == 61
}

func (s *soakRun) recordCall(attempt, path string, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, soakCall{attempt: attempt, status: status, idempotent: strings.HasPrefix(path, "/look/")})
}

// awaitReady waits until all instances pass their readiness check.
func (s *soakRun) awaitReady(when string) {
	s.t.Helper()
	c := &http.Client{Timeout: time.Second}
	defer c.CloseIdleConnections()
	end := time.Now().Add(soakReadyTimeout)
	for _, inst := range s.instances {
		for {
			resp, err := c.Get("http://" + inst.readyAddress + "/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				s.t.Fatalf("%s is not ready %s; its output ends with:\n%s", inst.name, when, s.logTail(inst))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
