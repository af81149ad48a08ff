package proof

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/stand/objs"
)

// TestTicketWithRelayKilled guards against instances that miss tickets when the relay of their failure domain, the instance
// that reads tickets from the platform, has failed. Each instance here is alone in its domain and so a relay; one is killed
// and another loses its link to the platform.
func TestTicketWithRelayKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tf := startFleet(t, fleet.WithListLag(time.Second))
	is.NoErr(tf.Nodes[0].Kill())
	tf.Nodes[1].PlatformLink.Partition() // gets tickets only from instance 2
	began := time.Now()
	number, err := tf.Nodes[2].ApplyTyped(fleet.TeamTicket("nagasaki", "morning", 1, 3))
	is.True(err == nil)
	for _, n := range tf.Nodes[1:] {
		is.NoErr(fleet.Wait(ticketBound, "ticket in force", func() bool { return n.TicketNumber() == core.TicketNumber(number) }))
	}
	took := time.Since(began)
	t.Logf("in force at the remaining instances after %s", took)
	is.True(took <= ticketBound)
	for _, n := range tf.Nodes[1:] {
		q := chatRequest{Key: "key-nagasaki", OutputTokens: 5, Mark: caller.NewMark()}
		is.NoErr(tf.chat(n, q).CheckComplete(q))
	}
}

// TestStoreDown guards against an outage of the store that stops generations, against tickets and protected actions that are
// accepted during it, and against a new instance that starts with an older configuration than its peers have.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	for _, mode := range []objs.Outage{objs.OutageRefuse, objs.OutageHang} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tf := startFleet(t, fleet.WithSettings(func(s *conf.Settings) { s.StoreTimeoutMs, s.VouchLimitMs = 500, 3000 }))
			number := tf.applyTicket(tf.Nodes[1], fleet.TeamTicket("nagasaki", "morning", 1, 3))
			l := tf.load(caller.WithClients(3), caller.WithMinOutputTokens(20))
			tf.Platform.SetOutage(mode)
			time.Sleep(4 * time.Second) // longer than vouch_limit_ms
			// A claim that is sent before the circuit breaker has opened, after 3 failed calls, has an unknown outcome.
			unknown, refused := 0, 0
			for unknown < 4 && refused < 2 {
				a := tf.sendAction(tf.Nodes[0], "outage-"+caller.NewMark(), time.Second)
				is.True(a.Err != nil)
				if a.Err.Kind == core.KindOutcomeUnknown && refused == 0 {
					is.Equal(a.Err.Run, core.ExecutionUnknown)
					unknown++
					continue
				}
				is.Equal(a.Err.Kind, core.KindStoreDown)
				is.Equal(a.Err.Run, core.NotExecuted)
				refused++
			}
			t.Logf("%d actions of unknown outcome before the store was known to be down", unknown)
			is.Equal(refused, 2)
			is.Equal(tf.AppRunners[0].Counts().Total, int64(0))
			_, err := tf.Nodes[2].ApplyTyped(fleet.TeamTicket("omuta", "morning", number, 1))
			t.Logf("ticket: %v", err)
			is.True(err != nil)
			is.Equal(err.Kind, core.KindStoreDown)
			is.Equal(err.Execution, core.NotExecuted)

			seeds := []string{tf.Nodes[0].PeerLink.Addr(), tf.Nodes[1].PeerLink.Addr()}
			late, lerr := tf.AddNode(func(s *conf.Settings) { s.Seeds = seeds })
			is.NoErr(lerr)
			is.NoErr(fleet.Wait(startLimit, "new instance ready", late.Ready))
			is.Equal(uint64(late.TicketNumber()), number) // a ready instance has the configuration of its peers
			q := chatRequest{Key: "key-nagasaki", OutputTokens: 5, Mark: caller.NewMark()}
			is.NoErr(tf.chat(late, q).CheckComplete(q))

			tf.Platform.SetOutage(objs.OutageNone)
			outageEnd := time.Now()
			is.NoErr(fleet.Wait(ticketBound, "ticket accepted after the outage", func() bool {
				n, err := tf.Nodes[2].ApplyTyped(fleet.TeamTicket("omuta", "afternoon", number, 2))
				return err == nil && n == number+1
			}))
			is.NoErr(tf.WaitTicket(ticketBound, number+1))
			t.Logf("the next ticket was in force everywhere %s after the end of the outage", time.Since(outageEnd))
			is.NoErr(fleet.Wait(ticketBound, "action accepted after the outage", func() bool {
				return tf.sendAction(tf.Nodes[0], "after-outage", 5*time.Second).Status == 200
			}))
			completed, _ := endLoad(t, l)
			is.True(completed > 20)
		})
	}
}

// TestTicketAnswersLost guards against a ticket that is accepted twice, or reported as refused, when the answers to its write
// are lost.
func TestTicketAnswersLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tf := startFleet(t)
	for i := range 4 {
		base := uint64(tf.Nodes[0].TicketNumber())
		ticket := fleet.TeamTicket("nagasaki", "morning", base, int64(10+i))
		tf.Platform.LoseAnswers(1+i%2, "tickets/")
		first, err := tf.Nodes[i%3].ApplyTyped(ticket)
		is.True(err == nil)
		is.Equal(first, base+1)
		again, err := tf.Nodes[(i+1)%3].ApplyTyped(ticket) // a retry with the same id at another instance
		is.True(err == nil)
		is.Equal(again, first)
		is.NoErr(tf.WaitTicket(ticketBound, first))
	}
	is.Equal(tf.weights("nagasaki"), []int64{13, 13, 13})
}

// TestRacingOperators guards against two operators who both succeed in changing the same item from the same base, and against
// a conflict error that does not name the winner.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tf := startFleet(t)
	for round := range 5 {
		base := uint64(tf.Nodes[0].TicketNumber())
		authors := []string{"morning", "afternoon"}
		var numbers [2]uint64
		var errs [2]*core.Error
		var wg sync.WaitGroup
		for i, author := range authors {
			wg.Go(func() {
				numbers[i], errs[i] = tf.Nodes[(round+i)%3].ApplyTyped(fleet.TeamTicket("nagasaki", author, base, int64(100*round+i+1)))
			})
		}
		wg.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		lost := errs[1-winner]
		is.True(errs[winner] == nil && lost != nil) // exactly one succeeds
		is.Equal(lost.Kind, core.KindConflict)
		is.Equal(lost.Execution, core.NotExecuted)
		is.True(strings.Contains(lost.Message, authors[winner]) && strings.Contains(lost.Message, "team/nagasaki"))
		is.NoErr(tf.WaitTicket(ticketBound, numbers[winner]))
		want := int64(100*round + winner + 1)
		is.Equal(tf.weights("nagasaki"), []int64{want, want, want})
		if round == 0 {
			t.Log(lost)
		}
	}
}

// TestCutOff guards against an instance that serves new calls with an unconfirmed configuration when it reaches neither the
// store nor any peer.
func TestCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const limit = 2 * time.Second
	tf := startFleet(t, fleet.WithSettings(func(s *conf.Settings) { s.VouchLimitMs = limit.Milliseconds() }))
	last := tf.Nodes[2]
	q := chatRequest{OutputTokens: 500, Mark: caller.NewMark(), CallbackAt: 20} // 4 s, longer than vouch_limit_ms
	var cut time.Time
	var wg sync.WaitGroup
	var running answer
	isCut := make(chan struct{})
	q.Callback = func() {
		last.PlatformLink.Partition()
		is.NoErr(tf.Nodes[0].Kill())
		is.NoErr(tf.Nodes[1].Kill())
		cut = time.Now()
		close(isCut)
	}
	wg.Go(func() { running = tf.chat(last, q) })
	<-isCut
	for time.Since(cut) < limit {
		time.Sleep(20 * time.Millisecond)
	}
	for range 10 {
		a := tf.chat(last, chatRequest{OutputTokens: 2})
		is.True(a.Err != nil)
		is.Equal(a.Err.Kind, core.KindStaleState)
		is.Equal(a.Err.Run, core.NotExecuted)
		is.True(!last.Ready())
	}
	wg.Wait()
	is.NoErr(running.CheckComplete(q)) // running requests are finished
	is.NoErr(last.PlatformLink.Restore())
	is.NoErr(fleet.Wait(ticketBound, "ready again", last.Ready))
}
