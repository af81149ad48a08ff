package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	crashRunners = 6 // of which one is killed at a time: share 0.17 of srv_crash
	crashStreams = 24
	crashEvents  = 120
	crashRounds  = 3
)

// serveUnframed is the program of a model runner: it answers with streams that have no length and end with their channel.
func serveUnframed(id string) int {
	ln, err := listen()
	if err != nil {
		return exitNotRun
	}
	fmt.Println(ln.Addr()) // read by the process that started this one
	for {
		c, err := ln.Accept()
		if err != nil {
			return exitHeld
		}
		go func() {
			defer c.Close()
			for serveUnframedRequest(c, bufio.NewReader(c), id) {
			}
		}()
	}
}

// serveUnframedRequest serves one request and reports whether another may follow on the channel.
func serveUnframedRequest(c net.Conn, br *bufio.Reader, id string) bool {
	req, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	attempt := req.Header.Get("Snipeshed-Attempt-Id")
	expect := req.Header.Get("Snipeshed-Expect-Instance")
	switch {
	case expect != "" && expect != id:
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nSnipeshed-Attempt-Id: %s\r\nSnipeshed-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", attempt)
		return true
	case req.URL.Path == "/hold-take":
		fmt.Fprint(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	case !strings.HasPrefix(req.URL.Path, "/draft/"):
		fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n") // no such call: no run, no copy
		return true
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSnipeshed-Attempt-Id: %s\r\nSnipeshed-Server-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		attempt, id)
	for i := 1; i <= crashEvents; i++ {
		time.Sleep(eventTime)
		if _, err := fmt.Fprintf(c, "id: %d\ndata: event %d of %s\n\n", i, i, attempt); err != nil {
			return false
		}
	}
	return false
}

// crashRunner is the process of a model runner.
type crashRunner struct {
	id, address string
	cmd         *exec.Cmd
}

func (b *bed) startCrashRunner(id string) (*crashRunner, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "runner", id)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, errors.Join(err, cmd.Process.Kill(), cmd.Wait())
	}
	r := &crashRunner{id: id, address: strings.TrimSpace(line), cmd: cmd}
	b.mu.Lock()
	b.runners = append(b.runners, r)
	b.mu.Unlock()
	b.store.Put("servers", id, entry("llm-pool", r.address, "ready", 24, time.Now()))
	b.logf("%s starts at %s", id, r.address)
	return r, nil
}

// kill ends the process at once; its channels are closed by the system.
func (r *crashRunner) kill() {
	_ = r.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
	_ = r.cmd.Wait()                          // reports the signal
}

// runCrash kills the process of one of six model runners at a time, while they answer with streams that have no length.
func runCrash(b *bed) (held bool, err error) {
	var all []*crashRunner
	for i := range crashRunners {
		r, err := b.startCrashRunner(fmt.Sprintf("i-llm-%d", i+1))
		if err != nil {
			return false, err
		}
		all = append(all, r)
	}
	b.configure([]any{route("draft", "streaming", "llm-pool", 39000, 4000, 1)}, []any{map[string]any{
		"name": "llm-pool", "health_path": "/health", "max_conns": 503, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 24, "kv_capacity_tokens": 34326, "kv_token_bytes": 96256, "link_mbps": 14000.0, "moves": true, "backups": true,
			"stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}})
	if err := b.addInstances(3, 120); err != nil {
		return false, err
	}
	var broken atomic.Int64
	for round := range crashRounds {
		var g sync.WaitGroup
		for i := range crashStreams {
			g.Go(func() {
				attempt := fmt.Sprintf("c%d%02x", round, i)
				events, status, err := b.readWhole(b.instances[i%3], attempt)
				b.logf("%s: status %d, %d of %d events, error %v", attempt, status, events, crashEvents, err)
				if status == http.StatusOK && err == nil && events < crashEvents {
					b.logf("%s: BROKEN: the stream ends as complete after event %d of %d", attempt, events, crashEvents)
					broken.Add(1)
				}
			})
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
		if b.trouble {
			all[round].kill()
			b.logf("the process of %s is killed", all[round].id)
		}
		g.Wait()
		if b.trouble {
			b.store.Remove("servers", all[round].id)
			if _, err := b.startCrashRunner(all[round].id + "b"); err != nil {
				return false, err
			}
			time.Sleep(time.Second)
		}
	}
	b.logf("%d streams were cut off and ended as if they were complete", broken.Load())
	return broken.Load() == 0, nil
}

// readWhole sends a request on the streaming route and reads its answer to the end; a nil error means that it looks complete.
func (b *bed) readWhole(in *instance, attempt string) (events, status int, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+in.front()+"/draft/"+attempt, strings.NewReader("prompt"))
	if err != nil {
		return 0, 0, err
	}
	req.Host = "a.example"
	for name, value := range map[string]string{
		"Snipeshed-Attempt-Id": attempt, "Snipeshed-Deadline-Ms": "39000", "Snipeshed-Model": "m",
		"Snipeshed-Token-Count": fmt.Sprintf("%d,%d", promptLen, crashEvents*4), "Snipeshed-Prompt-Prefix": "5c1e07a2:50," + attempt + ":2950",
	} {
		req.Header.Set(name, value)
	}
	c := &http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), "id: ") {
			events++
		}
	}
	return events, resp.StatusCode, sc.Err()
}
