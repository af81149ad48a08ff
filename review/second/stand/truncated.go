package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	truncatedID = "5f68c41d07be2a31"
	// truncatedRunners is the number of runners, of which one is killed: share 0.17 of srv_crash.
	truncatedRunners = 6
	// A generation of 240 events of 1,400 bytes, one each 28 ms: the sheet's pace of four tokens an event at 7 ms a step.
	truncatedEvents     = 240
	truncatedIntervalMs = 28
	truncatedEventBytes = 1380
	// readBytesPerSecond is the rate at which the caller reads.
	readBytesPerSecond = 12000
	readInterval       = 50 * time.Millisecond
	// The caller's kernel holds little for it: an Ethernet segment size and a small receive buffer.
	segmentBytes       = 1400
	receiveBufferBytes = 4096
	// crashAfter is the time after the first event at which the runner is killed, and downTime the time until it is back.
	crashAfter = 6000 * time.Millisecond
	downTime   = 4500 * time.Millisecond
)

// slowReader reads from a connection at a bounded rate.
type slowReader struct{ net.Conn }

// Read reads what the caller takes in one interval.
func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(readInterval)
	most := int(readBytesPerSecond * readInterval / time.Second)
	return r.Conn.Read(p[:min(len(p), most)])
}

// dialSlow opens a connection whose kernel buffer is small.
func dialSlow(address string) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			err = errors.Join(unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, segmentBytes),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes))
		})
		return errors.Join(err, controlErr)
	}}
	return d.Dial("tcp", address)
}

// runTruncated kills a runner in the middle of a stream that its caller reads slowly; the runner is back at its address before the
// instance has passed on all that the runner had sent.
func runTruncated(l *lab) error {
	l.configure(false)
	if err := l.startRunners(truncatedRunners); err != nil {
		return err
	}
	if err := l.startInstances(2); err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // the instances find each other
	ended := make(chan struct{})
	var g sync.WaitGroup
	if l.troubled {
		g.Go(func() { l.crashRunner(ended) })
	}
	last, err := l.readSlowly(l.instances[0])
	close(ended)
	g.Wait()
	sent := l.eventsSent(truncatedID)
	l.record("caller: last event %d of %d; the runner has sent %d; end of the answer: %v", last, truncatedEvents, sent, describeEnd(err))
	switch {
	case last == 0:
		return errors.New("the caller got no event")
	case err == nil && last < truncatedEvents:
		l.record("ORDER: the stream ended as complete after event %d of %d", last, truncatedEvents)
		return fmt.Errorf("%w: a stream ended as complete before its last event", errBroken)
	default:
		return nil
	}
}

func describeEnd(err error) string {
	if err == nil {
		return "complete"
	}
	return "broken off: " + err.Error()
}

// readSlowly sends the request and reads its answer. It returns the last event and how the answer ended, nil if it seems complete.
func (l *lab) readSlowly(inst *instance) (int, error) {
	c, err := dialSlow(inst.client)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	headers := caseHeaders(truncatedEvents, 300, truncatedIntervalMs, truncatedEventBytes) + headerUnframed + ": 1\r\n"
	l.record("caller sends %s and reads %d bytes/s", truncatedID, readBytesPerSecond)
	if _, err := c.Write([]byte(withHeaders(head(longPath, truncatedID, longDeadline, 3000, 960, "keep-alive"), headers))); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(slowReader{c}, 1024), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	l.record("caller: status %d, transfer encoding %v", resp.StatusCode, resp.TransferEncoding)
	last, lastAt, longest := 0, time.Now(), time.Duration(0)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(id) // the runner's ids are numbers
			longest = max(longest, time.Since(lastAt))
			lastAt = time.Now()
		}
	}
	l.record("caller: longest pause between two events %d ms", longest.Milliseconds())
	return last, lines.Err()
}

// crashRunner kills the runner that runs the stream, and starts it again. It returns without that if the stream ends before its first
// event.
func (l *lab) crashRunner(ended <-chan struct{}) {
	for l.eventsSent(truncatedID) == 0 {
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	time.Sleep(crashAfter)
	for _, r := range l.runners {
		if r.sentEvents(truncatedID) == 0 {
			continue
		}
		r.kill()
		l.record("runner %s is killed; it has sent %d of %d events", r.id, r.sentEvents(truncatedID), truncatedEvents)
		time.Sleep(downTime)
		if err := r.start(); err != nil {
			l.record("runner %s does not start again: %v", r.id, err)
			return
		}
		l.register(r)
		l.record("runner %s is back at its address", r.id)
	}
}
