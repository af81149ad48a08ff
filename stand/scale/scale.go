package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"snipeshed/core"
	"snipeshed/stand/objs"
)

// Case is the size of one fleet to measure.
type Case struct {
	Instances int
	Endpoints int
	Teams     int
	// Tickets is the number of tickets in the log before the fleet starts.
	Tickets int
	// Background adds a phase of 6 s at the target rate of tickets.
	Background bool
}

// Cases returns fleets from a small one up to the target size of the design. The ticket logs of the large fleets are
// short, because every instance applies the whole log when it starts and all instances share one process.
func Cases() []Case {
	return []Case{
		{Instances: 4, Endpoints: 32, Teams: 10, Tickets: 50},
		{Instances: 16, Endpoints: 128, Teams: 10, Tickets: 200, Background: true},
		{Instances: 64, Endpoints: 512, Teams: 50, Tickets: 200, Background: true},
		{Instances: 128, Endpoints: 1024, Teams: 100, Tickets: 150},
		{Instances: 256, Endpoints: 2048, Teams: 200, Tickets: 60, Background: true},
		{Instances: 350, Endpoints: 2800, Teams: 200, Tickets: 60, Background: true},
	}
}

// Benchmark runs the benchmark and prints key=value lines.
type Benchmark struct {
	mu     sync.Mutex // guards out; polls and fleets may be measured at the same time
	out    io.Writer
	window time.Duration
}

// New returns a Benchmark that prints to out and measures each idle fleet for the given window.
func New(out io.Writer, window time.Duration) *Benchmark { return &Benchmark{out: out, window: window} }

// Sizes and time limits of the phases.
const (
	singleTicketCount = 6
	singleInterval    = 200 * time.Millisecond
	burstTicketCount  = 50
	// ticketTimeout is the target time until a ticket is in force everywhere at the target size.
	ticketTimeout = 10 * time.Second
	// burstTimeout is longer, because all instances of a large fleet apply the burst on the few cores of one machine.
	burstTimeout = 30 * time.Second
	// settleTime lets the connections used only at the start close, and those between gossip partners open.
	settleTime = 1500 * time.Millisecond
	// ticketInterval is the mean time between two tickets at the target rate of 14,000 per day.
	ticketInterval = 24 * time.Hour / 14_000
)

// Run measures one fleet in all phases.
func (s *Benchmark) Run(ctx context.Context, c Case) (err error) {
	f, err := newFleet(c)
	if err != nil {
		return err
	}
	defer func() {
		err = errors.Join(err, f.close())
		debug.FreeOSMemory() // so that the next fleet's figures do not include this one's memory
	}()
	if err := s.measureStart(ctx, c, f); err != nil {
		return err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	if err := s.measureUsage(ctx, c, f, "idle", func() error { return sleep(ctx, s.window) }); err != nil {
		return err
	}
	if c.Background {
		if err := s.measureBackground(ctx, c, f); err != nil {
			return err
		}
	}
	if err := s.measureSingleTickets(ctx, c, f, "healthy"); err != nil {
		return err
	}
	if err := s.measureBurst(ctx, c, f); err != nil {
		return err
	}
	f.removeDomain(domain(domainCount - 1))
	return s.measureSingleTickets(ctx, c, f, "domain_removed")
}

// measureStart measures how soon the instances are ready after an outage of the store during which they were started.
func (s *Benchmark) measureStart(ctx context.Context, c Case, f *fleet) error {
	before := f.platform.Counts()
	times, err := f.start(ctx)
	if err != nil {
		return err
	}
	after := f.platform.Counts()
	s.print(
		c, "all_start",
		"ready_p50_ms", milliseconds(times[len(times)/2]), "ready_max_ms", milliseconds(times[len(times)-1]),
		"store_reads", after.Gets+after.Lists+after.Watches-before.Gets-before.Lists-before.Watches,
		"store_limited", after.Limited-before.Limited, "list_reads", after.InstanceLists-before.InstanceLists,
		"calls", f.totalCalls(),
	)
	return nil
}

// measureBackground measures one ticketInterval in which one ticket is accepted.
func (s *Benchmark) measureBackground(ctx context.Context, c Case, f *fleet) error {
	return s.measureUsage(ctx, c, f, "background", func() error {
		limited, cancel := context.WithTimeout(ctx, ticketInterval)
		defer cancel()
		if _, _, err := f.acceptTicket(limited, f.instances[len(f.instances)/2]); err != nil {
			return err
		}
		return sleep(ctx, ticketInterval)
	})
}

func (s *Benchmark) print(c Case, caseName string, pairs ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "bench=scale case=%s instances=%d endpoints=%d teams=%d tickets=%d",
		caseName, c.Instances, c.Endpoints, c.Teams, c.Tickets)
	for i := 0; i+1 < len(pairs); i += 2 {
		if v, isFloat := pairs[i+1].(float64); isFloat {
			fmt.Fprintf(s.out, " %s=%.2f", pairs[i], v)
		} else {
			fmt.Fprintf(s.out, " %s=%v", pairs[i], pairs[i+1])
		}
	}
	fmt.Fprintln(s.out)
}

// usageSample holds the cumulative resource usage of a fleet at one time.
type usageSample struct {
	at             time.Time
	sent, received []int64
	relays         []bool
	calls          int64
	cpu            time.Duration
	counts         objs.Counts
}

func (f *fleet) totalCalls() (calls int64) {
	for _, n := range f.instances {
		calls += n.calls.Load()
	}
	return calls
}

func (f *fleet) sampleUsage() (usageSample, error) {
	sample := usageSample{at: time.Now(), counts: f.platform.Counts(), calls: f.totalCalls()}
	for _, n := range f.instances {
		sent, received := n.bytes()
		sample.sent, sample.received = append(sample.sent, sent), append(sample.received, received)
		sample.relays = append(sample.relays, n.members.IsRelay(sample.at, n.relaysPerDomain))
	}
	var rusage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rusage); err != nil {
		return sample, fmt.Errorf("read CPU time: %w", err)
	}
	sample.cpu = time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
	return sample, nil
}

// measureUsage measures the resource usage of a fleet while fn runs.
//
// Bytes are counted at each instance's end of its connections to peers and to the platform. A message is a request or a
// response, counted at both ends. CPU time and memory are those of the whole process, which also runs the platform,
// divided by the number of instances. Store calls are those of the whole fleet.
func (s *Benchmark) measureUsage(ctx context.Context, c Case, f *fleet, caseName string, fn func() error) error {
	before, err := f.sampleUsage()
	if err != nil {
		return err
	}
	if err := fn(); err != nil {
		return err
	}
	after, err := f.sampleUsage()
	if err != nil {
		return err
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	seconds := after.at.Sub(before.at).Seconds()
	instanceSeconds := seconds * float64(c.Instances)
	var sent, received, othersMax, relayBytes, relayMax int64
	relays := 0
	for i := range after.sent {
		out, in := after.sent[i]-before.sent[i], after.received[i]-before.received[i]
		sent, received = sent+out, received+in
		if before.relays[i] || after.relays[i] {
			relays++
			relayBytes, relayMax = relayBytes+out+in, max(relayMax, out+in)
		} else {
			othersMax = max(othersMax, out+in)
		}
	}
	reads := after.counts.Gets + after.counts.Lists + after.counts.Watches - before.counts.Gets - before.counts.Lists - before.counts.Watches
	writes := after.counts.Puts + after.counts.Deletes - before.counts.Puts - before.counts.Deletes
	s.print(
		c, caseName,
		"sent_bytes_per_s", float64(sent)/instanceSeconds, "received_bytes_per_s", float64(received)/instanceSeconds,
		"both_bytes_per_s", float64(sent+received)/instanceSeconds, "both_bytes_per_s_max", float64(max(othersMax, relayMax))/seconds,
		"relays", relays, "relay_bytes_per_s", float64(relayBytes)/seconds/float64(max(relays, 1)),
		"relay_bytes_per_s_max", float64(relayMax)/seconds, "others_bytes_per_s_max", float64(othersMax)/seconds,
		"messages_per_s", float64(4*(after.calls-before.calls))/instanceSeconds,
		"cpu_percent_of_core", 100*(after.cpu-before.cpu).Seconds()/instanceSeconds,
		"memory_mib", float64(m.Sys-m.HeapReleased)/float64(c.Instances)/(1<<20),
		"fleet_store_reads_per_s", float64(reads)/seconds,
		"fleet_store_writes_per_s", float64(writes)/seconds,
		"fleet_list_reads_per_s", float64(after.counts.InstanceLists-before.counts.InstanceLists)/seconds,
		"fleet_waiting_watches", after.counts.OpenWatches,
	)
	return ctx.Err()
}

// measureSingleTickets measures how soon tickets are in force everywhere if different instances accept them,
// singleInterval apart.
func (s *Benchmark) measureSingleTickets(ctx context.Context, c Case, f *fleet, caseName string) error {
	ctx, cancel := context.WithTimeout(ctx, ticketTimeout+singleTicketCount*singleInterval)
	defer cancel()
	live := f.liveInstances()
	accepted := map[core.TicketNumber]time.Time{}
	for i := range singleTicketCount {
		n, at, err := f.acceptTicket(ctx, live[i*7%len(live)])
		if err != nil {
			return err
		}
		accepted[n] = at
		if err := sleep(ctx, singleInterval); err != nil {
			return err
		}
	}
	var times []time.Duration
	for n, at := range accepted {
		last, err := f.tracker.wait(ctx, n)
		if err != nil {
			return err
		}
		times = append(times, max(last.Sub(at), 0))
	}
	stale := 0
	for _, n := range live {
		if n.CheckFresh() != nil {
			stale++
		}
	}
	slices.Sort(times)
	s.print(
		c, caseName,
		"changes", len(times), "live_instances", len(live),
		"in_force_p50_ms", milliseconds(times[len(times)/2]), "in_force_max_ms", milliseconds(times[len(times)-1]),
		"stale_instances", stale,
	)
	return nil
}

// measureBurst measures how soon tickets are in force everywhere if one instance accepts them without a pause.
func (s *Benchmark) measureBurst(ctx context.Context, c Case, f *fleet) error {
	ctx, cancel := context.WithTimeout(ctx, burstTimeout)
	defer cancel()
	n := f.liveInstances()[0]
	began := time.Now()
	var accepted []time.Time
	first := f.lastTicket + 1
	for range burstTicketCount {
		_, at, err := f.acceptTicket(ctx, n)
		if err != nil {
			return err
		}
		accepted = append(accepted, at)
	}
	var slowest time.Duration
	var end time.Time
	for i, at := range accepted {
		last, err := f.tracker.wait(ctx, core.TicketNumber(first+uint64(i)))
		if err != nil {
			return err
		}
		slowest = max(slowest, last.Sub(at))
		end = last
	}
	s.print(
		c, "burst",
		"changes", burstTicketCount, "accepted_ms", milliseconds(accepted[len(accepted)-1].Sub(began)),
		"in_force_max_ms", milliseconds(slowest), "all_in_force_ms", milliseconds(end.Sub(began)),
	)
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// sleep waits for d; it returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
