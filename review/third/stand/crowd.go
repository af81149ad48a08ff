package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	crowdEngines = 18   // as on the sheet of the site
	idleChannels = 1250 // that clients keep after an answer
	crowdCalls   = 350
	crowdTime    = 1200 * time.Millisecond // in which the calls are sent
	watchTime    = 8 * time.Second         // after that
	sampleTime   = 5 * time.Millisecond
	// crowdHeadBytes is below max_header_bytes, and the bodies are below max_body_bytes, of the configuration.
	crowdHeadBytes = 13500
	largeBody      = 100_000
	smallBody      = 60_000
	usualBody      = 3000
	kibPerMB       = 1024
	// ordinaryClients keep a channel and send one request after the other; the rule allows lostBound losses.
	ordinaryClients = 18
	lostBound       = 3
)

// playCrowd checks that no requests of ordinary clients on kept channels are lost while many clients send requests inside the limits of
// the configuration, with many short headers. The platform kills an instance that exceeds the memory of its machine.
func playCrowd(w *world) (bool, error) {
	w.site = kvRouter
	w.putConfig(7)
	for i := range crowdEngines {
		r := &runner{
			id: fmt.Sprintf("i-lm-%d", i+1), service: modelService, zone: w.zones[i%len(w.zones)], isModel: true, slots: 24, events: 233,
			eventStep: 25 * time.Millisecond,
		}
		if err := w.addRunner(r); err != nil {
			return false, err
		}
	}
	for i := range 3 {
		r := &runner{id: fmt.Sprintf("i-app-%d", i+1), service: appService, zone: w.zones[i], slots: 6, workTime: 30 * time.Millisecond}
		if err := w.addRunner(r); err != nil {
			return false, err
		}
	}
	if err := w.startInstances(1); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	to := w.front(w.instances[0])
	kept := w.keepChannels(to)
	defer kept.close()
	w.log("%d channels are kept; memory %s", len(kept.list), w.memory())

	ordinary := w.startOrdinary(to)
	peak, stop := w.watchMemory()
	w.sendCrowd(to)
	time.Sleep(watchTime)
	stop()
	w.log("peak of the resident memory: %d kB; limit of the machine: %d kB", *peak, w.memoryMB*kibPerMB)
	lost := ordinary.stop()
	w.log("requests on kept channels that a sound runner ran and whose channel was closed without an answer: %d", lost)
	return lost > lostBound, nil
}

// ordinary are clients that send one lookup after the other, each on a channel of its own that it keeps.
type ordinary struct {
	w       *world
	quit    chan struct{}
	clients sync.WaitGroup

	mu   sync.Mutex
	lost []string // attempts whose channel ended without an answer
}

func (w *world) startOrdinary(to string) *ordinary {
	o := &ordinary{w: w, quit: make(chan struct{})}
	for range ordinaryClients {
		o.clients.Go(func() { o.send(to) })
	}
	return o
}

func (o *ordinary) send(to string) {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		select {
		case <-o.quit:
			return
		default:
		}
		id := newAttempt()
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nSnipeshed-Attempt-Id: %s\r\nSnipeshed-Deadline-Ms: 3000\r\nApi-Key: %s\r\n\r\n", lookupPath, host, id, apiKey)
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err != nil {
			o.w.log("the channel of %s ended without a whole answer: %v", id, err)
			o.mu.Lock()
			o.lost = append(o.lost, id)
			o.mu.Unlock()
			return
		}
	}
}

// stop ends the clients and returns how many of the lost attempts a runner has run.
func (o *ordinary) stop() (n int) {
	close(o.quit)
	o.clients.Wait()
	ran := map[string]bool{}
	for _, r := range o.w.runners {
		for _, x := range r.runsSince(time.Time{}) {
			ran[x.id] = true
		}
	}
	for _, id := range o.lost {
		if ran[id] {
			n++
		}
	}
	return n
}

// channels are connections that stay open.
type channels struct {
	mu   sync.Mutex
	list []net.Conn
}

func (c *channels) add(nc net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, nc)
}

func (c *channels) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, nc := range c.list {
		nc.Close()
	}
}

// keepChannels sends a lookup on each of many channels, which stay open.
func (w *world) keepChannels(to string) *channels {
	out := &channels{}
	for i := range idleChannels {
		c, err := net.DialTimeout("tcp", to, time.Second)
		if err != nil {
			w.log("channel %d: %v", i, err)
			continue
		}
		fmt.Fprint(c, head(http.MethodGet, lookupPath, 3*time.Second, 0, nil)+"\r\n")
		out.add(c)
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Second)
	return out
}

// head returns the head of a request, without the empty line at its end.
func head(method, path string, deadline time.Duration, bodyBytes int, headers map[string]string) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nSnipeshed-Attempt-Id: %s\r\nSnipeshed-Deadline-Ms: %d\r\nApi-Key: %s\r\n",
		method, path, host, newAttempt(), deadline.Milliseconds(), apiKey)
	if bodyBytes > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)
	}
	for name, value := range headers {
		text += name + ": " + value + "\r\n"
	}
	return text
}

// shortHeaders returns headers with names of two characters and no value, of n bytes at most.
func shortHeaders(n int) string {
	const chars = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_|~"
	var b strings.Builder
	for _, first := range chars {
		for _, second := range chars {
			line := fmt.Sprintf("%c%c:\r\n", first, second)
			if b.Len()+len(line) > n {
				return b.String()
			}
			b.WriteString(line)
		}
	}
	return b.String()
}

// sendCrowd sends the calls, each on a channel of its own, and logs the answers.
func (w *world) sendCrowd(to string) {
	var mu sync.Mutex
	answers := map[string]int{}
	for i := range crowdCalls {
		body, extra := usualBody, ""
		if w.trouble {
			body = largeBody
			if i%3 == 0 {
				body = smallBody
			}
		}
		text := head(http.MethodPost, draftPath, draftDeadline, body, w.draftHeaders())
		if w.trouble {
			extra = shortHeaders(crowdHeadBytes - len(text))
		}
		if i == 0 {
			w.log("each head has %d bytes and %d lines", len(text+extra)+2, strings.Count(text+extra, "\n"))
		}
		go func() {
			status := send(to, text+extra+"\r\n"+strings.Repeat("z", body))
			mu.Lock()
			defer mu.Unlock()
			answers[status]++
		}()
		time.Sleep(crowdTime / crowdCalls)
	}
	time.AfterFunc(watchTime-time.Second, func() {
		mu.Lock()
		defer mu.Unlock()
		for status, n := range answers {
			w.log("%d clients of the crowd got %q so far", n, status)
		}
	})
}

// send sends a request and returns the first line of its answer; it then reads the rest for a while.
func send(to, text string) string {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return "no channel"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(watchTime)) // TCP connections support deadlines
	if _, err := io.WriteString(c, text); err != nil {
		return "a closed channel"
	}
	line := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, line); err != nil {
		return "no answer"
	}
	_, _ = io.Copy(io.Discard, c) // only the status counts
	return string(line)
}

// watchMemory samples the resident memory of the first instance until stop is called; peak is in kB.
func (w *world) watchMemory() (peak *int64, stop func()) {
	peak = new(int64)
	quit := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() {
		for {
			select {
			case <-quit:
				return
			case <-time.After(sampleTime):
			}
			if n := w.residentKB("VmRSS:"); n > *peak {
				*peak = n
				if n > int64(w.memoryMB*kibPerMB) {
					w.log("memory above the limit: %s; the platform kills the instance", w.memory())
					_ = w.instances[0].cmd.Process.Kill() // fails if it has ended
					return
				}
			}
		}
	})
	return peak, func() {
		close(quit)
		g.Wait()
	}
}

func (w *world) memory() string {
	return fmt.Sprintf("resident %d kB, of which not of files %d kB", w.residentKB("VmRSS:"), w.residentKB("RssAnon:"))
}

// residentKB returns a figure of the first instance's status.
func (w *world) residentKB(field string) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.instances[0].cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if words := strings.Fields(line); len(words) > 1 && words[0] == field {
			n, _ := strconv.ParseInt(words[1], 10, 64) // the kernel writes a number
			return n
		}
	}
	return 0
}
