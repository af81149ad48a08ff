package crash

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Moments of an answer at which an engine crashes.
const (
	BeforeHead  = "before_head"
	AfterHead   = "after_head"
	AfterEvents = "after_events"
)

const (
	eventCount    = 20
	eventInterval = 20 * time.Millisecond
	// eventsBeforeCrash is the number of events after which an engine that crashes AfterEvents does so.
	eventsBeforeCrash = 5
	// headToCrash is the time from the head of an answer to a crash AfterHead.
	headToCrash = 40 * time.Millisecond
)

// Engine serves streams on a listener and prints a line for each request and each crash.
type Engine struct {
	ID      string
	Started int64 // Unix ms
	// Part is the part of prompts on which the engine crashes.
	Part string
	// Moment is one of the constants above.
	Moment string
	// Freeze makes the process stop in place of ending, as when its host no longer answers.
	Freeze bool
	// Life is the mean time after which the engine crashes by itself; 0 means that it does not.
	Life time.Duration
}

// Serve serves connections until the listener is closed.
func (e *Engine) Serve(ln net.Listener) error {
	if e.Life > 0 {
		time.AfterFunc(time.Duration(rand.ExpFloat64()*float64(e.Life)), func() { e.crash("") })
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer c.Close()
			for br := bufio.NewReader(c); e.serveRequest(c, br); {
			}
		}()
	}
}

// serveRequest serves one request and reports whether another may follow on the connection.
func (e *Engine) serveRequest(c net.Conn, br *bufio.Reader) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	attempt, expect := r.Header.Get("Snipeshed-Attempt-Id"), r.Header.Get("Snipeshed-Expect-Instance")
	switch {
	case expect != "" && expect != e.ID:
		writeHead(c, http.StatusMisdirectedRequest, attempt, "Snipeshed-Not-Executed: 1\r\nContent-Length: 0\r\n")
		return true
	case r.URL.Path == "/report":
		b, _ := json.Marshal(map[string]any{"state": "ready", "born": e.Started, "kv_used": 0, "kv_total": 30000}) // always valid
		writeHead(c, http.StatusOK, attempt, fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(b)))
		_, err := c.Write(b)
		return err == nil
	case !strings.HasSuffix(r.URL.Path, "/stream"):
		writeHead(c, http.StatusNotFound, attempt, "Content-Length: 0\r\n") // no run and no copy by this name
		return true
	}
	fmt.Println("request", attempt)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 for a new generation
	e.generate(c, attempt, last, strings.Contains(r.Header.Get("Snipeshed-Prompt-Prefix"), e.Part+":"))
	return false
}

func writeHead(w io.Writer, status int, attempt, rest string) {
	fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nSnipeshed-Attempt-Id: %s\r\n%s\r\n", status, http.StatusText(status), attempt, rest)
}

// generate sends the events after last in chunks, or crashes on the way.
func (e *Engine) generate(c net.Conn, attempt string, last int, crashes bool) {
	time.Sleep(eventInterval)
	if crashes && e.Moment == BeforeHead {
		e.crash(attempt)
	}
	writeHead(c, http.StatusOK, attempt,
		"Snipeshed-Server-Seal: seal-"+e.ID+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
	if crashes && e.Moment == AfterHead {
		time.Sleep(headToCrash)
		e.crash(attempt)
	}
	for i := last + 1; i <= eventCount; i++ {
		time.Sleep(eventInterval)
		event := fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
		if crashes && i >= last+eventsBeforeCrash {
			e.crash(attempt)
		}
	}
	fmt.Fprint(c, "0\r\n\r\n")
}

// crash ends or stops the process.
func (e *Engine) crash(attempt string) {
	fmt.Println("crash", attempt)
	if e.Freeze {
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		select {}
	}
	os.Exit(1)
}
