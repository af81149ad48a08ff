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

// Case is one fleet to measure.
type Case struct {
	Instances int
	Endpoints int
	Teams     int
	// Tickets is the length of the log before the fleet starts.
	Tickets int
	// Background adds an observation at the target rate of tickets, which takes 6 s.
	Background bool
}

// Cases returns fleets from a small one up to the target size of the design. The logs of the large fleets are
// short, because each instance of the process applies every ticket by itself when it starts.
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

// Scale measures fleets and prints key=value lines.
type Scale struct {
	mu     sync.Mutex // lines of polls and of fleets do not mix
	out    io.Writer
	window time.Duration
}

// New returns a Scale that prints to out and observes each steady fleet for a window.
func New(out io.Writer, window time.Duration) *Scale { return &Scale{out: out, window: window} }

// Sizes of a measurement.
const (
	singleTickets = 6
	singleGap     = 200 * time.Millisecond
	burstTickets  = 50
	// ticketTimeout is the goal for a ticket at the target size (design 1.2).
	ticketTimeout = 10 * time.Second
	// burstTimeout is longer, because all instances of a large fleet apply the burst on the same few cores.
	burstTimeout = 30 * time.Second
	// settleTime lets the connections of the start close and those between the partners open.
	settleTime = 1500 * time.Millisecond
	// ticketInterval is the mean time between two tickets of 14,000 per day (design 1.6).
	ticketInterval = 24 * time.Hour / 14_000
)

// Run measures one fleet.
func (s *Scale) Run(ctx context.Context, c Case) (err error) {
	f, err := newFleet(c)
	if err != nil {
		return err
	}
	defer func() {
		err = errors.Join(err, f.close())
		debug.FreeOSMemory() // the next fleet's memory is its own
	}()
	if err := s.start(ctx, c, f); err != nil {
		return err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	if err := s.observe(ctx, c, f, "idle", func() error { return sleep(ctx, s.window) }); err != nil {
		return err
	}
	if c.Background {
		if err := s.background(ctx, c, f); err != nil {
			return err
		}
	}
	if err := s.singles(ctx, c, f, "healthy"); err != nil {
		return err
	}
	if err := s.burst(ctx, c, f); err != nil {
		return err
	}
	f.remove(domain(domains - 1))
	return s.singles(ctx, c, f, "domain_removed")
}

// start measures a fleet that was started without the store, from the store's return on.
func (s *Scale) start(ctx context.Context, c Case, f *fleet) error {
	before := f.platform.Counts()
	times, err := f.start(ctx)
	if err != nil {
		return err
	}
	after := f.platform.Counts()
	s.print(
		c, "all_start",
		"ready_p50_ms", msOf(times[len(times)/2]), "ready_max_ms", msOf(times[len(times)-1]),
		"store_reads", after.Gets+after.Lists+after.Watches-before.Gets-before.Lists-before.Watches,
		"store_limited", after.Limited-before.Limited, "list_reads", after.InstanceLists-before.InstanceLists,
		"calls", f.calls(),
	)
	return nil
}

// background measures one interval at the target rate of tickets.
func (s *Scale) background(ctx context.Context, c Case, f *fleet) error {
	return s.observe(ctx, c, f, "background", func() error {
		limited, cancel := context.WithTimeout(ctx, ticketInterval)
		defer cancel()
		if _, _, err := f.accept(limited, f.instances[len(f.instances)/2]); err != nil {
			return err
		}
		return sleep(ctx, ticketInterval)
	})
}

func (s *Scale) print(c Case, what string, pairs ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "bench=scale case=%s instances=%d endpoints=%d teams=%d tickets=%d", what, c.Instances, c.Endpoints, c.Teams, c.Tickets)
	for i := 0; i+1 < len(pairs); i += 2 {
		if v, isFloat := pairs[i+1].(float64); isFloat {
			fmt.Fprintf(s.out, " %s=%.2f", pairs[i], v)
		} else {
			fmt.Fprintf(s.out, " %s=%v", pairs[i], pairs[i+1])
		}
	}
	fmt.Fprintln(s.out)
}

// sample is the fleet's use of resources up to now.
type sample struct {
	at             time.Time
	sent, received []int64
	relays         []bool
	calls          int64
	cpu            time.Duration
	counts         objs.Counts
}

func (f *fleet) calls() (calls int64) {
	for _, n := range f.instances {
		calls += n.calls.Load()
	}
	return calls
}

func (f *fleet) sample() (sample, error) {
	x := sample{at: time.Now(), counts: f.platform.Counts(), calls: f.calls()}
	for _, n := range f.instances {
		sent, received := n.bytes()
		x.sent, x.received = append(x.sent, sent), append(x.received, received)
		x.relays = append(x.relays, n.members.IsRelay(x.at, n.relaysPerDomain))
	}
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		return x, fmt.Errorf("processor time cannot be read: %w", err)
	}
	x.cpu = time.Duration(use.Utime.Nano() + use.Stime.Nano())
	return x, nil
}

// observe measures a fleet while fn runs.
//
// Bytes are those of each instance's end of its connections, to peers and to the platform. A message is a question
// or an answer, counted at both ends. Processor time and memory are those of the whole process, which also runs the
// platform, divided by the instances; store calls are those of the whole fleet.
func (s *Scale) observe(ctx context.Context, c Case, f *fleet, what string, fn func() error) error {
	a, err := f.sample()
	if err != nil {
		return err
	}
	if err := fn(); err != nil {
		return err
	}
	b, err := f.sample()
	if err != nil {
		return err
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	seconds := b.at.Sub(a.at).Seconds()
	per := seconds * float64(c.Instances)
	var sent, received, most, relayed, relayMost int64
	relays := 0
	for i := range b.sent {
		out, in := b.sent[i]-a.sent[i], b.received[i]-a.received[i]
		sent, received = sent+out, received+in
		if a.relays[i] || b.relays[i] {
			relays++
			relayed, relayMost = relayed+out+in, max(relayMost, out+in)
		} else {
			most = max(most, out+in)
		}
	}
	reads := b.counts.Gets + b.counts.Lists + b.counts.Watches - a.counts.Gets - a.counts.Lists - a.counts.Watches
	writes := b.counts.Puts + b.counts.Deletes - a.counts.Puts - a.counts.Deletes
	s.print(
		c, what,
		"sent_bytes_per_s", float64(sent)/per, "received_bytes_per_s", float64(received)/per,
		"both_bytes_per_s", float64(sent+received)/per, "both_bytes_per_s_max", float64(max(most, relayMost))/seconds,
		"relays", relays, "relay_bytes_per_s", float64(relayed)/seconds/float64(max(relays, 1)),
		"relay_bytes_per_s_max", float64(relayMost)/seconds, "others_bytes_per_s_max", float64(most)/seconds,
		"messages_per_s", float64(4*(b.calls-a.calls))/per,
		"cpu_percent_of_core", 100*(b.cpu-a.cpu).Seconds()/per,
		"memory_mib", float64(m.Sys-m.HeapReleased)/float64(c.Instances)/(1<<20),
		"fleet_store_reads_per_s", float64(reads)/seconds,
		"fleet_store_writes_per_s", float64(writes)/seconds,
		"fleet_list_reads_per_s", float64(b.counts.InstanceLists-a.counts.InstanceLists)/seconds,
		"fleet_waiting_watches", b.counts.OpenWatches,
	)
	return ctx.Err()
}

// singles measures tickets that are accepted at different instances, a gap apart.
func (s *Scale) singles(ctx context.Context, c Case, f *fleet, what string) error {
	ctx, cancel := context.WithTimeout(ctx, ticketTimeout+singleTickets*singleGap)
	defer cancel()
	live := f.live()
	accepted := map[core.TicketNumber]time.Time{}
	for i := range singleTickets {
		n, at, err := f.accept(ctx, live[i*7%len(live)])
		if err != nil {
			return err
		}
		accepted[n] = at
		if err := sleep(ctx, singleGap); err != nil {
			return err
		}
	}
	var times []time.Duration
	for n, at := range accepted {
		last, err := f.watch.wait(ctx, n)
		if err != nil {
			return err
		}
		times = append(times, max(last.Sub(at), 0))
	}
	stale := 0
	for _, n := range live {
		if n.Fresh() != nil {
			stale++
		}
	}
	slices.Sort(times)
	s.print(
		c, what,
		"changes", len(times), "live_instances", len(live),
		"in_force_p50_ms", msOf(times[len(times)/2]), "in_force_max_ms", msOf(times[len(times)-1]),
		"stale_instances", stale,
	)
	return nil
}

// burst measures tickets accepted without a pause at one instance.
func (s *Scale) burst(ctx context.Context, c Case, f *fleet) error {
	ctx, cancel := context.WithTimeout(ctx, burstTimeout)
	defer cancel()
	n := f.live()[0]
	began := time.Now()
	var accepted []time.Time
	first := f.number + 1
	for range burstTickets {
		_, at, err := f.accept(ctx, n)
		if err != nil {
			return err
		}
		accepted = append(accepted, at)
	}
	var slowest time.Duration
	var end time.Time
	for i, at := range accepted {
		last, err := f.watch.wait(ctx, core.TicketNumber(first+uint64(i)))
		if err != nil {
			return err
		}
		slowest = max(slowest, last.Sub(at))
		end = last
	}
	s.print(
		c, "burst",
		"changes", burstTickets, "accepted_ms", msOf(accepted[len(accepted)-1].Sub(began)),
		"in_force_max_ms", msOf(slowest), "all_in_force_ms", msOf(end.Sub(began)),
	)
	return nil
}

func msOf(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// sleep returns an error when the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
