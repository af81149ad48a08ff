package edge_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/edge"
	"snipeshed/stand/plat"
)

// output collects the log of an instance.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write appends to the log.
func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// deployment is a store with engines and a few edge instances.
type deployment struct {
	t         *testing.T
	store     *plat.Store
	engines   []*plat.Engine
	instances []*instance
	// retrySlack is the setting of the instances that are started next.
	retrySlack float64
	// evacuationTimeout is that setting, in ms.
	evacuationTimeout int64
}

type instance struct {
	*edge.Edge
	cfg  *conf.EdgeSettings
	log  *output
	once sync.Once
}

func (i *instance) stop() { i.once.Do(i.Stop) }

func (i *instance) kill() { i.once.Do(i.Close) }

func deploy(t *testing.T, n int) *deployment {
	d := &deployment{t: t, store: plat.NewStore(0)}
	for _, id := range []string{"app-1", "app-2", "lm-1", "lm-2"} {
		e := plat.NewEngine(id)
		e.Events, e.Interval = 60, 10*time.Millisecond
		d.engines = append(d.engines, e)
		d.store.Put("servers", id, e.ObjectSpec(strings.Split(id, "-")[0], "d1", "ready"))
	}
	d.configure(1, "k1")
	for range n {
		d.start()
	}
	t.Cleanup(d.close)
	return d
}

func (d *deployment) close() {
	for _, i := range d.instances {
		i.kill()
	}
	for _, e := range d.engines {
		e.Close()
	}
	d.store.Close()
}

// configure writes a version of the configuration with the API keys of its only team.
func (d *deployment) configure(version int, keys ...string) {
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 4000,
			"latency_goal_ms": 500, "service": service, "max_attempts": 2,
		}
	}
	d.store.Put("config", "main", map[string]any{
		"version": version,
		"routes":  []any{route("look", "idempotent", "app"), route("book", "non_idempotent", "app"), route("long", "streaming", "lm")},
		"services": []any{map[string]any{"name": "app"}, map[string]any{"name": "lm", "engine": map[string]any{
			"slots": 8, "kv_capacity_tokens": 10000, "kv_token_bytes": 1000, "link_mbps": 14000, "moves": true, "stride": 1, "hold_ms": 500,
		}}},
		"tenants": []any{map[string]any{"name": "north", "api_keys": keys}},
	})
}

func (d *deployment) start() *instance {
	return d.startIn("d1", fmt.Sprintf("edge-%d", len(d.instances)+1), d.store.Address())
}

// startIn starts an instance in a failure domain, which reaches the store at the given address.
func (d *deployment) startIn(domain, name, store string) *instance {
	d.t.Helper()
	cfg := &conf.EdgeSettings{
		Instance: name, FailureDomain: domain, ClientAddress: plat.UnusedAddress(),
		ReadyAddress: plat.UnusedAddress(), PeerAddress: plat.UnusedAddress(), MetricsAddress: plat.UnusedAddress(), StoreAddress: store,
		MemoryMb: 200, MaxDescriptors: 1000,
	}
	conf.SetDefaults(cfg)
	cfg.StopTimeoutS = 5
	cfg.RetrySlack = d.retrySlack
	cfg.EvacuationTimeoutMs = d.evacuationTimeout
	i := &instance{cfg: cfg, log: &output{}}
	var err error
	if i.Edge, err = edge.New(cfg, i.log); err != nil {
		d.t.Fatal(err)
	}
	d.instances = append(d.instances, i)
	return i
}

// status sends a GET request and returns the status of the response, or 0 if there is none.
func status(url, key string) int {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = "a.example"
	req.Header.Set("Api-Key", key)
	req.Header.Set("Snipeshed-Attempt-Id", fmt.Sprint(time.Now().UnixNano()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (i *instance) ready() bool {
	return status("http://"+i.cfg.GetReadyAddress()+"/readiness", "") == 200
}

func (i *instance) call(key string) int {
	return status("http://"+i.cfg.GetClientAddress()+"/look/1", key)
}

func (d *deployment) eventually(what string, within time.Duration, cond func(*instance) bool) {
	d.t.Helper()
	for _, i := range d.instances {
		for end := time.Now().Add(within); !cond(i); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				d.t.Fatalf("%s: timed out at %s; log:\n%s", what, i.cfg.GetInstance(), i.log)
			}
		}
	}
}

// TestChangesArrive guards against instances that keep an old configuration, also after the store has dropped its history of
// changes.
func TestChangesArrive(t *testing.T) {
	d := deploy(t, 4)
	d.eventually("ready", 3*time.Second, (*instance).ready)
	d.eventually("served", time.Second, func(i *instance) bool { return i.call("k1") == 200 })
	d.configure(2, "k2")
	d.eventually("new key", 2*time.Second, func(i *instance) bool { return i.call("k2") == 200 })
	d.eventually("old key", time.Second, func(i *instance) bool { return i.call("k1") == 401 })
	d.store.Compact()
	d.configure(3, "k3")
	d.eventually("after the history was dropped", 2*time.Second, func(i *instance) bool { return i.call("k3") == 200 })
}

// TestFewReadTheStore guards against a number of store calls that grows with the number of instances.
func TestFewReadTheStore(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 6)
	d.eventually("ready", 3*time.Second, (*instance).ready)
	time.Sleep(2500 * time.Millisecond) // the instances find each other, and the surplus watches end
	before := d.store.CallCount()
	time.Sleep(2 * time.Second)
	calls := d.store.CallCount() - before
	if calls > 2*2*4 {
		for _, i := range d.instances {
			t.Log(i.log)
		}
	}
	is.True(calls <= 2*2*4) // two instances, two kinds, about one call a second each
}

// TestStartWithoutStore guards against an instance that cannot start while the store is down, although other instances have
// all that it needs.
func TestStartWithoutStore(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 2)
	d.eventually("ready", 3*time.Second, (*instance).ready)
	d.store.SetFault(plat.FaultUnavailable)
	cfg := d.instances[0].cfg
	i := d.startWith(cfg.GetPeerAddress())
	d.eventually("ready", 3*time.Second, (*instance).ready)
	is.Equal(i.call("k1"), 200)
	is.True(strings.Contains(i.log.String(), "source=\"peer edge-"))
	d.store.SetFault(plat.FaultNone)
	d.configure(2, "k2")
	d.eventually("after the outage", 4*time.Second, func(i *instance) bool { return i.call("k2") == 200 })
}

// startWith starts an instance and adds it to the peers of the first one, which then sends it a datagram. Seeds cannot be
// used: they need the same peer port on all hosts, but here the ports differ.
func (d *deployment) startWith(string) *instance {
	i := d.start()
	d.instances[0].AddPeer(i.cfg.GetInstance(), i.cfg.GetPeerAddress())
	return i
}

// TestStop guards against calls that are lost when an instance stops: open streams, and calls that arrive before the load
// balancer removes the instance.
func TestStop(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	d.eventually("ready", 3*time.Second, (*instance).ready)
	i := d.instances[0]
	results := make(chan string, 8)
	for n := range 8 {
		go func() { results <- stream(i, fmt.Sprint("r", n)) }()
	}
	d.eventually("all streams run", 3*time.Second, func(*instance) bool {
		return d.engines[2].AttemptCount()+d.engines[3].AttemptCount() == 8
	})
	stopped := make(chan struct{})
	go func() {
		i.stop()
		close(stopped)
	}()
	time.Sleep(50 * time.Millisecond)
	is.True(!i.ready())
	is.Equal(i.call("k1"), 200) // the load balancer has not noticed yet
	// A stream that arrives late during the stop must be refused without being sent to an engine; otherwise it is accepted and
	// cut off when the process ends, as under the load pattern deploy/days/late-stop.toml.
	is.Equal(stream(i, "late"), "0 events")
	is.Equal(d.engines[2].StartCount("late")+d.engines[3].StartCount("late"), 0)
	for range 8 {
		is.Equal(<-results, "60 events")
	}
	select {
	case <-stopped:
	case <-time.After(6 * time.Second):
		t.Fatal("the instance did not stop within 6 s")
	}
	is.True(strings.Contains(i.log.String(), "msg=stopped"))
}

func stream(i *instance, attempt string) string {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+i.cfg.GetClientAddress()+"/long/stream", http.NoBody)
	if err != nil {
		return err.Error()
	}
	req.Host = "a.example"
	req.Header.Set("Api-Key", "k1")
	req.Header.Set("Snipeshed-Attempt-Id", attempt)
	req.Header.Set("Snipeshed-Token-Count", "500,60")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d events", strings.Count(string(b), "id: "))
}

// TestNoticeInOutage guards against engines whose leaving is not noticed while the store is down.
func TestNoticeInOutage(t *testing.T) {
	d := deploy(t, 3)
	d.eventually("ready", 3*time.Second, (*instance).ready)
	time.Sleep(600 * time.Millisecond) // the instances find each other
	d.store.SetFault(plat.FaultUnavailable)
	d.engines[2].SetLeaving()
	// If instances report for 3 s that the store has answered recently, reports are first requested 2.3 s after it has
	// failed, and engines that leave in between (three in one case) go unnoticed until then.
	d.eventually("the leaving engine is noticed", 1200*time.Millisecond, func(i *instance) bool {
		return strings.Contains(i.log.String(), "msg=endpoint_leaving endpoint=lm-1")
	})
}

// TestNoticeInSilentOutage guards against engines that leave unnoticed while a silent store is only suspected to be down: those that
// watched it have lost it, and those that take over wait 1.5 s for their first answer.
func TestNoticeInSilentOutage(t *testing.T) {
	d := deploy(t, 8)
	d.eventually("ready", 3*time.Second, (*instance).ready)
	time.Sleep(2500 * time.Millisecond) // two instances watch, the others have had no answer for longer than 2 s
	d.store.SetFault(plat.FaultNoAnswer)
	lost := func() (n int) {
		for _, i := range d.instances {
			n += min(strings.Count(i.log.String(), "msg=store_lost"), 1)
		}
		return n
	}
	d.eventually("both watchers lose the store", 3*time.Second, func(*instance) bool { return lost() >= 2 })
	d.engines[2].SetLeaving()
	d.eventually("the leaving engine is noticed", 800*time.Millisecond, func(i *instance) bool {
		return strings.Contains(i.log.String(), "msg=endpoint_leaving endpoint=lm-1")
	})
}

// TestMetrics guards against metrics that are missing or not in the Prometheus text format.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	d := deploy(t, 1)
	d.eventually("ready", 3*time.Second, (*instance).ready)
	i := d.instances[0]
	is.Equal(i.call("k1"), 200)
	resp, err := http.Get("http://" + i.cfg.GetMetricsAddress() + "/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	for _, line := range []string{
		`snipeshed_calls_total{service="app",kind="idempotent",outcome="answered"} 1`, `snipeshed_team_calls_total{team="north",outcome="answered"} 1`,
		"snipeshed_instances 1", "snipeshed_rules_version 1", `snipeshed_latency_us_count{service="app",kind="idempotent",outcome="answered"} 1`,
	} {
		is.True(strings.Contains(string(b), line)) // line
	}
}

// TestSettings guards against an instance that starts without its settings file.
func TestSettings(t *testing.T) {
	is := is.New(t)
	err := edge.Run(t.Context(), t.TempDir()+"/none.json", io.Discard)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "cannot be read"))
}

// TestStartTogether guards against instances that all watch the store when they start at the same moment, as after all were
// killed at once, because they have not found each other yet. Each change of an endpoint then costs as many store calls as
// there are instances.
func TestStartTogether(t *testing.T) {
	d := deploy(t, 16)
	d.eventually("ready", 5*time.Second, (*instance).ready)
	time.Sleep(3 * time.Second)
	watched := 0
	for _, i := range d.instances {
		if strings.Contains(i.log.String(), "watch_began") {
			watched++
		}
	}
	if watched < 1 || watched > 4 {
		t.Errorf("%d of 16 instances watched the store, want 1 to 4", watched)
	}
}
