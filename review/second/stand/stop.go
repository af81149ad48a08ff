package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	graceSeconds = 8 // grace_s of the deployment
	// stopCallers is the number of callers with an idle connection.
	stopCallers = 6
	// firstSendAfter is the time after SIGTERM at which the first of them sends; the others follow at sendInterval.
	firstSendAfter = 4050 * time.Millisecond
	sendInterval   = 40 * time.Millisecond
	shortDeadline  = 6000 // ms
	longDeadline   = 39000
)

// caseHeaders returns the headers that tell the runner how long a generation takes.
func caseHeaders(events, firstMs, intervalMs, eventBytes int) string {
	return fmt.Sprintf("%s: %d\r\n%s: %d\r\n%s: %d\r\n%s: %d\r\n", headerEvents, events, headerFirstMs, firstMs, headerIntervalMs, intervalMs,
		headerEventBytes, eventBytes)
}

// withHeaders adds headers to a request's head.
func withHeaders(request, headers string) string {
	return strings.TrimSuffix(request, "\r\n") + headers + "\r\n"
}

// outcome is how a request ended for its caller.
type outcome struct {
	id       string
	sentAt   time.Time
	endedAt  time.Time
	status   int // 0 without the head of an answer
	events   int
	complete bool
	err      error
}

// exchange sends a request on a connection and reads the answer to its end.
func exchange(c net.Conn, br *bufio.Reader, id, request string) outcome {
	o := outcome{id: id, sentAt: time.Now()}
	if _, o.err = io.WriteString(c, request); o.err != nil {
		return o
	}
	o.readAnswer(br)
	o.endedAt = time.Now()
	return o
}

func (o *outcome) readAnswer(br *bufio.Reader) {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		o.err = err
		return
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id: ") {
			o.events++
		}
	}
	o.err = lines.Err()
	o.complete = o.err == nil
}

// keptConn is a caller's connection that is kept open between requests.
type keptConn struct {
	net.Conn
	br *bufio.Reader
}

func dialKept(address string) (*keptConn, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: c, br: bufio.NewReader(c)}, nil
}

// runStop stops an instance while callers hold idle connections to it, and sends a short stream on each of these 4 s later.
func runStop(l *lab) error {
	l.configure(true)
	if err := l.startRunners(3); err != nil {
		return err
	}
	if err := l.startInstances(3); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // the instances find each other
	inst := l.instances[0]
	conns, err := l.openKept(inst, stopCallers)
	if err != nil {
		return err
	}
	var g sync.WaitGroup
	defer g.Wait()
	g.Go(func() { l.runLong(inst) })
	time.Sleep(1500 * time.Millisecond)
	if l.troubled {
		l.record("SIGTERM to %s", inst.name)
		if err := inst.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
	}
	begun := time.Now()
	outcomes := make([]outcome, len(conns))
	var callers sync.WaitGroup
	for i, c := range conns {
		callers.Go(func() {
			defer c.Close()
			time.Sleep(time.Until(begun.Add(firstSendAfter + time.Duration(i)*sendInterval)))
			id := fmt.Sprintf("9c41d07be2a3%04x", i)
			l.record("caller sends %s on its kept connection, %.2f s after SIGTERM", id, time.Since(begun).Seconds())
			request := withHeaders(head(shortPath, id, shortDeadline, 2200, 80, "keep-alive"), caseHeaders(14, 1400, 175, 240))
			outcomes[i] = exchange(c, c.br, id, request)
			o := outcomes[i]
			l.record("caller of %s: status %d, %d of 14 events, complete %v, %d ms after it was sent: %v",
				id, o.status, o.events, o.complete, o.endedAt.Sub(o.sentAt).Milliseconds(), o.err)
		})
	}
	callers.Wait()
	return l.judgeStop(outcomes)
}

// openKept opens connections to an instance and sends a request on each, so that they are kept connections and idle then.
func (l *lab) openKept(inst *instance, n int) ([]*keptConn, error) {
	var out []*keptConn
	for i := range n {
		c, err := dialKept(inst.client)
		if err != nil {
			return nil, err
		}
		id := fmt.Sprintf("1d07be2a35f8%04x", i)
		o := exchange(c, c.br, id, withHeaders(head(shortPath, id, shortDeadline, 2200, 80, "keep-alive"), caseHeaders(2, 50, 20, 240)))
		if o.status != http.StatusOK || !o.complete {
			return nil, fmt.Errorf("the first request on a connection got status %d, complete %v: %w", o.status, o.complete, o.err)
		}
		out = append(out, c)
	}
	l.record("%d callers hold a kept connection to %s", n, inst.name)
	return out, nil
}

// runLong runs a long stream, during which the instance does not close idle connections when it stops.
func (l *lab) runLong(inst *instance) {
	c, err := dialKept(inst.client)
	if err != nil {
		l.record("long stream: %v", err)
		return
	}
	defer c.Close()
	request := withHeaders(head(longPath, "77aa07be2a35f001", longDeadline, 3000, 940, "keep-alive"), caseHeaders(235, 300, 40, 240))
	l.record("caller sends the long stream 77aa07be2a35f001")
	o := exchange(c, c.br, "77aa07be2a35f001", request)
	l.record("long stream: status %d, %d of 235 events, complete %v: %v", o.status, o.events, o.complete, o.err)
}

// lossSlack is loss_slack_ms of the deployment.
const lossSlack = 200 * time.Millisecond

// judgeStop checks LOST: a request that was read and passed on to a runner ends without a complete answer. The requests were sent later
// than 3 s after SIGTERM, so none is excused by the end of the grace period, and those that reached their deadline do not count.
func (l *lab) judgeStop(outcomes []outcome) error {
	lost := 0
	for _, o := range outcomes {
		passedOn := o.events > 0 || l.wasSent(o.id)
		if o.complete || !passedOn || o.endedAt.Sub(o.sentAt) >= shortDeadline*time.Millisecond-lossSlack {
			continue
		}
		lost++
		l.record("LOST: %s was passed on to a runner, which had sent %d of 14 events, and its connection ended without a complete answer", o.id, l.eventsSent(o.id))
	}
	if lost > 0 {
		return fmt.Errorf("%w: %d of %d requests were lost", errBroken, lost, len(outcomes))
	}
	return nil
}

func (l *lab) wasSent(id string) bool { return l.eventsSent(id) > 0 }

// eventsSent returns the number of events that runners have sent for an attempt.
func (l *lab) eventsSent(id string) int {
	n := 0
	for _, r := range l.runners {
		n = max(n, r.sentEvents(id))
	}
	return n
}
