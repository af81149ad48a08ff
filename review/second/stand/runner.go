package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The test's own headers tell the runner how long a generation takes. They are end-to-end headers without a meaning of their own.
const (
	headerEvents     = "Case-Events"      // number of events
	headerFirstMs    = "Case-First-Ms"    // time until the first event
	headerIntervalMs = "Case-Interval-Ms" // time between two events
	headerEventBytes = "Case-Event-Bytes" // size of the data of an event
	headerUnframed   = "Case-Unframed"    // the answer has no length and ends with its connection
)

// runRunner serves as a model runner until the process is killed. It reports the runs on its standard output.
func runRunner(id, address string) int {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println("listening")
	r := &runner{id: id}
	err = http.Serve(ln, http.HandlerFunc(r.serve)) //nolint:gosec // no timeouts: a loopback stand-in
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}

// runner is a model runner that speaks the platform's protocol.
type runner struct {
	id string
	mu sync.Mutex
}

// report writes a line to the process that started the runner.
func (r *runner) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Printf(format+"\n", args...)
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Snipeshed-Attempt-Id")
	if id != "" {
		w.Header().Set("Snipeshed-Attempt-Id", id)
	}
	if expect := req.Header.Get("Snipeshed-Expect-Instance"); expect != "" && expect != r.id {
		w.Header().Set("Snipeshed-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "state": "ready", "kv_used": 0, "kv_total": 34326})
	case "/health":
		w.Header().Set("Snipeshed-Instance-Id", r.id)
	case "/hold-take":
		_ = json.NewEncoder(w).Encode(map[string]any{"hold": "h" + strconv.FormatInt(time.Now().UnixNano(), 36)})
	case "/kv-move":
		w.WriteHeader(http.StatusNotFound) // no such run: it has ended
	default:
		r.stream(w, req, id)
	}
}

func number(req *http.Request, name string) int {
	n, _ := strconv.Atoi(req.Header.Get(name)) // 0 if the header is absent
	return n
}

// stream runs a request and sends its events.
func (r *runner) stream(w http.ResponseWriter, req *http.Request, id string) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	events, first := number(req, headerEvents), 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	interval := time.Duration(number(req, headerIntervalMs)) * time.Millisecond
	unframed := req.Header.Get(headerUnframed) != ""
	r.report("runs %s from event %d of %d", id, first, events)
	time.Sleep(time.Duration(number(req, headerFirstMs)) * time.Millisecond)
	writeHead(rw, id, r.id, unframed)
	data := strings.Repeat("x", number(req, headerEventBytes))
	for n := first; n <= events; n++ {
		writePart(rw, fmt.Sprintf("id: %d\ndata: %d %s\n\n", n, n, data), unframed)
		if err := rw.Flush(); err != nil {
			r.report("stopped %s after event %d of %d: the connection was closed", id, n-1, events)
			return
		}
		r.report("sent %s event %d of %d", id, n, events)
		if n < events {
			time.Sleep(interval)
		}
	}
	if !unframed {
		fmt.Fprint(rw, "0\r\n\r\n")
		_ = rw.Flush() // the caller may have left
	}
	r.report("completed %s", id)
}

func writeHead(rw *bufio.ReadWriter, attempt, runnerID string, unframed bool) {
	fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\nSnipeshed-Attempt-Id: %s\r\nSnipeshed-Server-Seal: seal.%s.%s\r\n", attempt, runnerID, attempt)
	fmt.Fprint(rw, "Content-Type: text/event-stream\r\nSnipeshed-Weight-Versions: 1\r\nConnection: close\r\n")
	if !unframed {
		fmt.Fprint(rw, "Transfer-Encoding: chunked\r\n")
	}
	fmt.Fprint(rw, "\r\n")
}

func writePart(rw *bufio.ReadWriter, part string, unframed bool) {
	if unframed {
		fmt.Fprint(rw, part)
		return
	}
	fmt.Fprintf(rw, "%x\r\n%s\r\n", len(part), part)
}

// runnerProcess is a runner as a process.
type runnerProcess struct {
	lab         *lab
	id, address string
	starts      int
	born        int64
	cmd         *exec.Cmd
	exited      chan struct{}

	mu   sync.Mutex
	sent map[string]int // events sent, by attempt
}

// start starts the process and returns when it listens.
func (r *runnerProcess) start() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	r.starts++
	r.born = time.Now().UnixMilli()
	r.cmd = exec.Command(self, "runner", r.id, r.address)
	r.cmd.Stderr = os.Stderr
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		_ = r.cmd.Wait() // it has ended
		return fmt.Errorf("runner %s does not listen", r.id)
	}
	r.exited = make(chan struct{})
	go func() {
		defer close(r.exited)
		for lines.Scan() {
			r.note(lines.Text())
		}
		_ = r.cmd.Wait() // the error only reports the signal
	}()
	return nil
}

// note records a line of the runner.
func (r *runnerProcess) note(line string) {
	var id string
	var n, of int
	if _, err := fmt.Sscanf(line, "sent %s event %d of %d", &id, &n, &of); err != nil {
		r.lab.record("runner %s %s", r.id, line)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent[id] = n
}

// sentEvents returns the number of events that were sent for an attempt.
func (r *runnerProcess) sentEvents(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent[id]
}

// kill kills the process and waits until it has ended.
func (r *runnerProcess) kill() {
	if r.cmd.Process == nil {
		return // it could not be started
	}
	_ = r.cmd.Process.Kill() // fails when the process has ended
	<-r.exited
}
