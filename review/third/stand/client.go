package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

var attempts atomic.Int64

// newAttempt returns a new id of a client's attempt.
func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)) }

// answer is what a client has got for one request.
type answer struct {
	id      string
	sentAt  time.Time
	status  int // 0 if there was none
	seal    string
	body    []byte
	err     error
	elapsed time.Duration
}

// isServed reports whether the client has a whole answer with success.
func (a answer) isServed() bool { return a.err == nil && a.status == http.StatusOK && a.seal != "" }

// call sends one request on a new connection and reads its answer.
func (w *world) call(to, method, path string, headers map[string]string, deadline time.Duration) answer {
	a := answer{id: newAttempt(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to+path, http.NoBody)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Snipeshed-Attempt-Id", a.id)
	req.Header.Set("Snipeshed-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Api-Key", apiKey)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := c.Do(req)
	if err == nil {
		a.status, a.seal = resp.StatusCode, resp.Header.Get("Snipeshed-Server-Seal")
		a.body, a.err = io.ReadAll(resp.Body)
		resp.Body.Close()
	} else {
		a.err = err
	}
	a.elapsed = time.Since(a.sentAt)
	w.log("client sent %s %s %s to %s at %.3f s, got status %d, %d bytes, error %v, after %d ms",
		a.id, method, path, to, a.sentAt.Sub(w.start).Seconds(), a.status, len(a.body), a.err, a.elapsed.Milliseconds())
	return a
}

const (
	host   = "ficu95.example"
	apiKey = "xd9dnn2ctnfzs989anu6"
	tenant = "huka270"
)

const (
	// clientSegment and clientBuffer are the segment size and the receive buffer of a small client.
	clientSegment = 536
	clientBuffer  = 2 << 10
	// slowBytes is what a client that reads slowly takes from its connection in each slowInterval.
	slowBytes    = 100
	slowInterval = 500 * time.Millisecond
)

// callSlowly sends a request and reads the answer slowly until the answer ends or the case does.
func (w *world) callSlowly(to, path string, headers map[string]string, deadline time.Duration) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, clientSegment)
		})
	}}
	c, err := d.Dial("tcp", to)
	if err != nil {
		w.log("client that reads slowly could not connect: %v", err)
		return
	}
	defer c.Close()
	id := newAttempt()
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nSnipeshed-Attempt-Id: %s\r\nSnipeshed-Deadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: 0\r\n",
		path, host, id, deadline.Milliseconds(), apiKey)
	for name, value := range headers {
		text += name + ": " + value + "\r\n"
	}
	if _, err := io.WriteString(c, text+"\r\n"); err != nil {
		w.log("client that reads slowly could not send: %v", err)
		return
	}
	w.log("client sent %s POST %s to %s and reads the answer slowly", id, path, to)
	total, b := 0, make([]byte, slowBytes)
	for err == nil {
		n := 0
		n, err = c.Read(b)
		if total == 0 && n > 0 {
			w.log("slow client of %s got %q", id, b[:min(n, len("HTTP/1.1 200"))])
		}
		total += n
		select {
		case <-w.ended:
			w.log("slow client of %s has read %d bytes; its connection is still open", id, total)
			return
		case <-time.After(slowInterval):
		}
	}
	w.log("slow client of %s has read %d bytes; then: %v", id, total, err)
}
