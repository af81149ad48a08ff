package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"snipeshed/stand/plat"
)

// bed is what a case runs on: the platform's store, instances and the record of what happened.
type bed struct {
	trouble bool
	dir     string // temporary folder
	store   *plat.Store
	begun   time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	file      *os.File
	instances []*instance
	runners   []*crashRunner
	closed    bool
}

// instance is one process of the entry role and its settings.
type instance struct {
	bed      *bed
	name     string
	host     string // loopback address of its machine
	settings string // path of its settings file
	memoryMB int

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// The ports of a machine, the same on all machines.
const (
	frontPort = "8740"
	readyPort = "8749"
)

func newBed(folder string, trouble bool) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	b := &bed{trouble: trouble, dir: dir, store: plat.NewStore(0), begun: time.Now(), file: f, record: bufio.NewWriter(f)}
	b.logf("trouble: %v", trouble)
	return b, nil
}

// logf writes a line to the record, with the seconds since the start.
func (b *bed) logf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  %s", time.Since(b.begun).Seconds(), fmt.Sprintf(format, args...))
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed {
		fmt.Fprintln(b.record, line)
	}
}

// close ends all processes that were started and completes the record.
func (b *bed) close() {
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	list, runners := b.instances, b.runners
	b.mu.Unlock()
	for _, r := range runners {
		r.kill()
	}
	for _, in := range list {
		in.stop(syscall.SIGKILL)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	_ = b.record.Flush() // the record is then incomplete, which shows
	_ = b.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}

// roleCommand returns the command of the entry role in the deploy file.
func roleCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(text)
	if m == nil {
		return nil, errors.New("deploy/system.toml has no line run")
	}
	return strings.Fields(string(m[1])), nil
}

// addInstances starts n instances and waits until all are ready.
func (b *bed) addInstances(n, memoryMB int) error {
	hosts := make([]string, n)
	var seeds []string
	for i := range hosts {
		hosts[i] = fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), rand.IntN(256), 1+rand.IntN(254))
		seeds = append(seeds, hosts[i]+":8748")
	}
	for i, host := range hosts {
		in := &instance{bed: b, name: fmt.Sprintf("edge-zone-a-%d", i+1), host: host, memoryMB: memoryMB}
		if err := in.writeSettings(seeds[:min(3, n)]); err != nil {
			return err
		}
		if err := in.start(); err != nil {
			return err
		}
		b.mu.Lock()
		b.instances = append(b.instances, in)
		b.mu.Unlock()
	}
	for _, in := range b.instances {
		if err := in.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// placeholder is a value that the platform fills into the template of the settings.
var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)

// writeSettings fills in the template of the settings as the platform does.
func (in *instance) writeSettings(seeds []string) error {
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return err
	}
	values := map[string]any{
		"node_name": in.name, "zone": "zone-a", "ip": in.host, "listen.front": in.host + ":" + frontPort,
		"listen.ready": in.host + ":" + readyPort, "inner_port_range.0": 7200, "seeds": seeds,
		"platform.address": in.bed.store.Address(), "limits.memory_mb": in.memoryMB, "limits.max_fds": 2870, "bounds.grace_s": 8,
		"bounds.retry_ratio": 0.2, "bounds.retry_window_s": 10, "bounds.retry_slack": 113,
	}
	var missing []string
	text := placeholder.ReplaceAllStringFunc(string(template), func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v, ok := values[m[1]]
		if !ok {
			missing = append(missing, m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v) // strings and lists of strings
		return string(b)
	})
	if len(missing) > 0 {
		return fmt.Errorf("the template of the settings names %v, which this stand-in does not know", missing)
	}
	in.settings = filepath.Join(in.bed.dir, in.name+".json")
	return os.WriteFile(in.settings, []byte(text), 0o600)
}

// start starts the process of the instance.
func (in *instance) start() error {
	command, err := roleCommand()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(in.bed.dir, in.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close() // the process has its own descriptor
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SNIPESHED_BOOT=" + in.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.mu.Lock()
	in.cmd, in.exited = cmd, exited
	in.mu.Unlock()
	in.bed.logf("%s starts at %s", in.name, in.host)
	go func() {
		err := cmd.Wait()
		in.bed.logf("%s has ended: %v", in.name, err)
		close(exited)
	}()
	return nil
}

// stop sends a signal to the process and waits until it has ended.
func (in *instance) stop(sig os.Signal) {
	in.mu.Lock()
	cmd, exited := in.cmd, in.exited
	in.mu.Unlock()
	_ = cmd.Process.Signal(sig) // fails if it has ended
	<-exited
}

func (in *instance) front() string { return in.host + ":" + frontPort }

// awaitReady asks the instance whether it is ready, as the platform does, until it is.
func (in *instance) awaitReady() error {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 200 {
		resp, err := c.Get("http://" + in.host + ":" + readyPort + "/readiness")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				in.bed.logf("%s is ready", in.name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s does not get ready", in.name)
}

// listen opens a listener on a free port of a loopback address.
func listen() (*net.TCPListener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// route is a route of the configuration, for the host a.example.
func route(name, kind, service string, timeoutMs, goalMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeoutMs, "latency_goal_ms": goalMs,
		"priority": 2, "service": service, "max_attempts": attempts, "anonymous": false, "sticky": kind == "streaming", "resumable": false,
		"gap_target_ms": 180,
	}
}

// configure writes the configuration, with the limits that the pages show.
func (b *bed) configure(routes, services []any) {
	b.store.Put("config", "main", map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// appService is an application service without an engine.
func appService() map[string]any {
	return map[string]any{"name": "swap-app", "health_path": "/health", "max_conns": 208, "protocol": "h1", "tls": false}
}

// entry is a runner's entry in the store.
func entry(service, address, state string, slots int, born time.Time) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": "zone-a", "version": "v1", "slots": slots, "state": state, "cold_left_ms": 0,
		"seq": 1, "born": born.UnixMilli(),
	}
}
