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

// soakSeeds are run in CI; each seed that ever failed stays here with a line on the cause.
var soakSeeds = []uint64{
	20261204,
	1114051, // an instance was not ready at the start, before any fault, beside CI; its output was not kept, cause not shown
}

const (
	soakInstances = 3
	soakCallers   = 8
	// soakBack is the time in which all instances serve again after the last fault.
	soakBack = 6 * time.Second
)

// soak is a run of real processes under faults from outside.
type soak struct {
	t       *testing.T
	seed    uint64
	dir     string
	procs   *procs.Procs
	store   *plat.Store
	members []*soakInstance

	mu      sync.Mutex
	engines map[string]*plat.Engine // live ones, by id
	links   map[string]*link.Link   // in front of engines, by engine id
	past    []*plat.Engine
	lives   int
	sent    []soakCall
}

type soakInstance struct {
	name, ready, settings string
	toStore, fromCallers  *link.Link
	cmd                   *exec.Cmd
}

// soakCall is a protected call or a stream and what its caller saw.
type soakCall struct {
	attempt string
	status  int
}

// TestSoak guards the promises to callers while processes are stopped, frozen, killed and started again, engines leave and
// crash, and the store fails for all or for some, in series that overlap. SOAK_SEED, SOAK_SEEDS and SOAK_SECONDS choose
// other runs.
func TestSoak(t *testing.T) {
	seeds := soakSeeds
	if first, err := strconv.ParseUint(os.Getenv("SOAK_SEED"), 10, 64); err == nil {
		seeds = nil
		for i := range max(envInt("SOAK_SEEDS", 1), 1) {
			seeds = append(seeds, first+uint64(i))
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSoak(t, seed)
			defer s.close()
			s.run(time.Duration(envInt("SOAK_SECONDS", 8)) * time.Second)
		})
	}
}

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

func newSoak(t *testing.T, seed uint64) *soak {
	dir := t.TempDir()
	p, err := procs.New(dir)
	if err != nil {
		t.Fatal(err)
	}
	s := &soak{t: t, seed: seed, dir: dir, procs: p, store: plat.NewStore(0), engines: map[string]*plat.Engine{}, links: map[string]*link.Link{}}
	for range 3 {
		s.addEngine("lm")
		s.addEngine("app")
	}
	s.configure()
	for i := range soakInstances {
		s.addInstance(i)
	}
	s.awaitReady("at the start")
	return s
}

func (s *soak) close() {
	s.procs.Close()
	for _, m := range s.members {
		_ = m.toStore.Close() // nothing uses it any more
		_ = m.fromCallers.Close()
	}
	for _, l := range s.links {
		_ = l.Close() // as above
	}
	for _, e := range s.engines {
		e.Close()
	}
	s.store.Close()
}

func (s *soak) addEngine(service string) {
	s.lives++
	e := plat.NewEngine(fmt.Sprintf("%s-%d", service, s.lives))
	e.Events, e.Interval = 60, 10*time.Millisecond
	l := s.link(e.Address())
	e.SetVia(l.Addr())
	s.engines[e.ID], s.links[e.ID] = e, l
	s.store.Put("servers", e.ID, e.Entry(service, "d1", "ready"))
}

func (s *soak) link(target string) *link.Link {
	l := link.New(target)
	if err := l.Start(); err != nil {
		s.t.Fatal(err)
	}
	return l
}

func (s *soak) configure() {
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 4000,
			"latency_goal_ms": 500, "service": service, "max_attempts": attempts,
		}
	}
	s.store.Put("config", "main", map[string]any{
		"version": 1,
		"routes":  []any{route("look", "idempotent", "app", 2), route("book", "non_idempotent", "app", 2), route("long", "streaming", "lm", 1)},
		"services": []any{map[string]any{"name": "app"}, map[string]any{"name": "lm", "engine": map[string]any{
			"slots": 16, "kv_capacity_tokens": 100000, "kv_token_bytes": 1000, "link_mbps": 14000, "moves": true, "backups": true, "stride": 1,
		}}},
	})
}

func (s *soak) addInstance(i int) {
	// A loopback address of its own, so that no outgoing connection of another process holds the port meanwhile.
	host := fmt.Sprintf("127.%d.%d.%d:", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(254))
	client := host + "7101"
	m := &soakInstance{name: fmt.Sprintf("edge-%d", i), ready: host + "7102", toStore: s.link(s.store.Address()), fromCallers: s.link(client)}
	m.settings = filepath.Join(s.dir, m.name+".json")
	b, err := json.Marshal(map[string]any{
		"instance": m.name, "failure_domain": "d1", "client_address": client, "ready_address": m.ready, "peer_address": host + "7103",
		"store_address": m.toStore.Addr(), "memory_mb": 200, "max_descriptors": 1000, "stop_timeout_s": 3, "retry_slack": 100,
	})
	if err == nil {
		err = os.WriteFile(m.settings, b, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.members = append(s.members, m)
	s.start(m)
}

func (s *soak) start(m *soakInstance) {
	out, err := os.OpenFile(s.output(m), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	defer out.Close() // the process has its own
	if m.cmd, err = s.procs.RunTo(out, "snipeshed", "edge", "--settings", m.settings); err != nil {
		s.t.Fatal(err)
	}
}

// output is the file that holds what an instance's processes write.
func (s *soak) output(m *soakInstance) string { return filepath.Join(s.dir, m.name+".log") }

// lastOutput returns the end of what an instance's processes wrote.
func (s *soak) lastOutput(m *soakInstance) string {
	const end = 4 << 10
	b, err := os.ReadFile(s.output(m))
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-end):])
}

// restart ends a process by a signal and starts it again.
func (s *soak) restart(m *soakInstance, sig os.Signal) {
	_ = m.cmd.Process.Signal(sig) // fails when it has ended
	_ = m.cmd.Wait()              // its exit code is that of the signal
	s.start(m)
}

// run lets callers call while faults come, then checks that all is well again.
func (s *soak) run(d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var g sync.WaitGroup
	for i := range soakCallers {
		g.Go(func() { s.call(ctx, i) })
	}
	r := rand.New(rand.NewPCG(s.seed, 0))
	for ctx.Err() == nil {
		s.fault(ctx, r, &g)
		time.Sleep(time.Duration(100+r.IntN(500)) * time.Millisecond)
	}
	g.Wait()
	s.awaitReady("after the faults")
	s.check()
}

// call sends calls of all kinds over kept connections.
func (s *soak) call(ctx context.Context, caller int) {
	c := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		m := s.members[(caller+n)%len(s.members)]
		attempt := fmt.Sprintf("c%d-%d", caller, n)
		path := []string{"/book/" + attempt, "/look/" + attempt, "/long/stream"}[n%3]
		s.one(c, m, path, attempt)
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *soak) one(c *http.Client, m *soakInstance, path, attempt string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.fromCallers.Addr()+path, strings.NewReader(""))
	if err != nil {
		s.t.Error(err)
		return
	}
	req.Host = "a.example"
	req.Header.Set("Snipeshed-Attempt-Id", attempt)
	req.Header.Set("Snipeshed-Token-Count", "500,60")
	resp, err := c.Do(req)
	if err != nil {
		s.note(attempt, path, 0)
		return
	}
	defer resp.Body.Close()
	s.note(attempt, path, resp.StatusCode)
	if resp.StatusCode != http.StatusOK {
		return
	}
	if resp.Header.Get("Snipeshed-Attempt-Id") != attempt || resp.Header.Get("Snipeshed-Server-Seal") == "" {
		s.t.Errorf("%s %s: answer of another request or without a digest: %v", attempt, path, resp.Header)
	}
	if strings.HasPrefix(path, "/long/") {
		s.checkStream(attempt, resp.Body)
		return
	}
	b, err := io.ReadAll(resp.Body)
	if err == nil && !strings.HasSuffix(string(b), " to "+path) {
		s.t.Errorf("%s: wrong answer %q", attempt, b)
	}
}

// checkStream checks that events come once and in order, and that a stream that ends well is whole.
func (s *soak) checkStream(attempt string, body io.Reader) {
	next := 1
	sc := bufio.NewScanner(body)
	for sc.Scan() {
		id, ok := strings.CutPrefix(sc.Text(), "id: ")
		if !ok {
			continue
		}
		if id != strconv.Itoa(next) {
			s.t.Errorf("%s: event %s in place of %d", attempt, id, next)
			return
		}
		next++
	}
	if sc.Err() == nil && next != 61 {
		s.t.Errorf("%s: a stream that looks whole ends after event %d", attempt, next-1)
	}
}

func (s *soak) note(attempt, path string, status int) {
	if strings.HasPrefix(path, "/look/") {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, soakCall{attempt: attempt, status: status})
}

// check checks that nothing ran twice and that what was refused did not run.
func (s *soak) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	served := 0
	for _, c := range s.sent {
		runs := 0
		for _, e := range s.engines {
			runs += e.Runs(c.attempt)
		}
		for _, e := range s.past {
			runs += e.Runs(c.attempt)
		}
		if runs > 1 || (c.status == http.StatusServiceUnavailable && runs > 0) {
			s.t.Errorf("%s: answered %d, ran %d times", c.attempt, c.status, runs)
		}
		if c.status == http.StatusOK {
			served++
		}
	}
	if served*4 < len(s.sent) {
		s.t.Errorf("%d of %d protected calls and streams were served", served, len(s.sent))
	}
	s.t.Logf("%d of %d protected calls and streams were served", served, len(s.sent))
}

// awaitReady waits until all instances are ready.
func (s *soak) awaitReady(when string) {
	s.t.Helper()
	c := &http.Client{Timeout: time.Second}
	defer c.CloseIdleConnections()
	end := time.Now().Add(soakBack)
	for _, m := range s.members {
		for {
			resp, err := c.Get("http://" + m.ready + "/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				s.t.Fatalf("%s is not ready %s; its output ends with:\n%s", m.name, when, s.lastOutput(m))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
