package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryMB      = 120
	memoryRounds  = 3
	memoryRunners = 3
	// usualCallers and burstCallers are the consumers that send to one instance at the same time; burst has x below 1.7.
	usualCallers = 8
	burstCallers = 13
	largeBody    = 4 << 20 // max_body_bytes
	// uploadTime is the time that a consumer takes to send a body.
	uploadTime = 800 * time.Millisecond
	uploadPart = 64 << 10
	// smallCallers are the consumers of each instance that send ordinary requests all the time, one after the other.
	smallCallers = 6
	workTime     = 200 * time.Millisecond
)

// appRunner is a runner of an application service with a fixed work time; it runs all requests at once.
type appRunner struct {
	*bed
	id   string
	runs *runLog
}

// ServeHTTP reads a request whole, works and answers.
func (r *appRunner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("Snipeshed-Attempt-Id")
	w.Header().Set("Snipeshed-Attempt-Id", attempt)
	if expect := req.Header.Get("Snipeshed-Expect-Instance"); expect != "" && expect != r.id {
		w.Header().Set("Snipeshed-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	r.runs.add(attempt, r.id)
	r.logf("%s runs %s", r.id, attempt)
	time.Sleep(workTime)
	w.Header().Set("Snipeshed-Server-Seal", "seal-"+r.id)
	fmt.Fprintf(w, "done %s", attempt)
}

// anonymousMemory returns the memory of a process in bytes that belongs to it alone, without the pages of its program file.
func anonymousMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// watchMemory kills the process whenever it exceeds its memory and starts it again, as the platform does; it counts the ends.
func (in *instance) watchMemory(done <-chan struct{}, ends *atomic.Int64) (peak int64) {
	for {
		select {
		case <-done:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
		in.mu.Lock()
		pid := in.cmd.Process.Pid
		in.mu.Unlock()
		used := anonymousMemory(pid)
		peak = max(peak, used)
		if used <= int64(in.memoryMB)<<20 {
			continue
		}
		ends.Add(1)
		in.bed.logf("%s uses %d MB of %d MB: the platform kills it", in.name, used>>20, in.memoryMB)
		in.stop(syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		if err := in.start(); err != nil {
			in.bed.logf("%s does not start: %v", in.name, err)
			return peak
		}
	}
}

// runMemory sends requests with bodies as large as the configuration allows, by more consumers at once during bursts.
func runMemory(b *bed) (held bool, err error) {
	runs := &runLog{runs: map[string][]string{}}
	for i := range memoryRunners {
		ln, err := listen()
		if err != nil {
			return false, err
		}
		r := &appRunner{bed: b, id: fmt.Sprintf("i-app-%d", i+1), runs: runs}
		go func() { _ = http.Serve(ln, r) }() // ends with the program
		b.store.Put("servers", r.id, entry("swap-app", ln.Addr().String(), "ready", 6, b.begun))
	}
	b.configure([]any{route("confirm", "non_idempotent", "swap-app", 5000, 2000, 1)}, []any{appService()})
	if err := b.addInstances(2, memoryMB); err != nil {
		return false, err
	}
	done := make(chan struct{})
	var watchers sync.WaitGroup
	ends := make([]atomic.Int64, len(b.instances))
	for i, in := range b.instances {
		watchers.Go(func() {
			peak := in.watchMemory(done, &ends[i])
			b.logf("%s: at most %d MB", in.name, peak>>20)
		})
	}
	callers := usualCallers
	if b.trouble {
		callers = burstCallers
	}
	var lost atomic.Int64
	var small sync.WaitGroup
	for i, in := range b.instances {
		for c := range smallCallers {
			small.Go(func() { b.callSmall(in, fmt.Sprintf("5a%02x%02x", i, c), done, runs, &lost) })
		}
	}
	for round := range memoryRounds {
		b.logf("round %d: %d consumers send to each instance at once", round+1, callers)
		var g sync.WaitGroup
		for i, in := range b.instances {
			for c := range callers {
				attempt := fmt.Sprintf("%02x%02x%02x", round, i, c)
				g.Go(func() {
					status := b.upload(in, attempt)
					ran := runs.of(attempt)
					b.logf("%s: status %d (0: closed without an answer), run by %v", attempt, status, ran)
					if status == 0 && len(ran) > 0 {
						lost.Add(1)
					}
				})
			}
		}
		g.Wait()
		time.Sleep(4 * time.Second) // killed instances are back and in touch
	}
	close(done)
	small.Wait()
	watchers.Wait()
	most := 0
	for i := range ends {
		if ends[i].Load() >= memoryRounds {
			most++
		}
		b.logf("%s ended by itself %d times", b.instances[i].name, ends[i].Load())
	}
	b.logf("%d requests were passed on to a sound runner and their channel was closed without an answer", lost.Load())
	return most < 2 && lost.Load() <= 3, nil
}

// callSmall sends ordinary requests, one after the other, and counts those that ran and have no answer.
func (b *bed) callSmall(in *instance, prefix string, done <-chan struct{}, runs *runLog, lost *atomic.Int64) {
	c := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{}} // on a kept channel
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(20 * time.Millisecond):
		}
		attempt := fmt.Sprintf("%s%04x", prefix, n)
		if status := b.sendConfirm(c, in, attempt); status == 0 && len(runs.of(attempt)) > 0 {
			b.logf("%s: run by %v, closed without an answer", attempt, runs.of(attempt))
			lost.Add(1)
		}
	}
}

// sendConfirm sends an ordinary request of the route confirm and returns the status of its answer, or 0.
func (b *bed) sendConfirm(c *http.Client, in *instance, attempt string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+in.front()+"/confirm/"+attempt, bytes.NewReader(make([]byte, 600)))
	if err != nil {
		return 0
	}
	req.Host = "a.example"
	req.Header.Set("Snipeshed-Attempt-Id", attempt)
	req.Header.Set("Snipeshed-Deadline-Ms", "5000")
	resp, err := c.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// upload sends a request with a large body, slowly, and returns the status of its answer, or 0.
func (b *bed) upload(in *instance, attempt string) int {
	c, err := net.DialTimeout("tcp", in.front(), time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	b.logf("%s: sent to %s, %d bytes", attempt, in.name, largeBody)
	_, err = fmt.Fprintf(c, "POST /confirm/%s HTTP/1.1\r\nHost: a.example\r\nSnipeshed-Attempt-Id: %s\r\nSnipeshed-Deadline-Ms: 5000\r\nContent-Length: %d\r\n\r\n",
		attempt, attempt, largeBody)
	part := make([]byte, uploadPart)
	for sent := 0; sent < largeBody && err == nil; sent += uploadPart {
		_, err = c.Write(part)
		time.Sleep(uploadTime * uploadPart / largeBody)
	}
	_ = c.SetReadDeadline(time.Now().Add(6 * time.Second))
	answer, _ := io.ReadAll(io.LimitReader(c, 64)) // a status line is enough
	fields := bytes.Fields(answer)
	if len(fields) < 2 {
		return 0
	}
	status, _ := strconv.Atoi(string(fields[1])) // 0 for what is no status
	return status
}
