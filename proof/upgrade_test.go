package proof

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/daemon"
	"snipeshed/io/link"
	"snipeshed/io/oper"
	"snipeshed/io/peer"
	"snipeshed/stand/caller"
	"snipeshed/stand/fleet"
	"snipeshed/wire"
)

// TestRollingUpgrade guards against a ticket of a newer format that is accepted while an older instance serves, and, where
// an older instance meets one all the same, against one that serves without it or cuts off what it was serving.
func TestRollingUpgrade(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w := start(t)
	newer := daemon.WithState(state.WithFormat(1))
	w.SetDaemon(newer)
	for range 2 { // the older instances 0 to 2 still run
		_, err := w.AddNode()
		is.NoErr(err)
	}
	is.NoErr(w.WaitReady(startLimit))
	is.NoErr(fleet.Wait(startLimit, "every instance knows the others", func() bool {
		for _, n := range w.Nodes {
			if n.Others() < len(w.Nodes)-1 {
				return false
			}
		}
		return true
	}))
	plain, err := w.Nodes[3].Try(fleet.TeamTicket("nagasaki", "morning", 1, 2))
	is.True(err == nil) // the upgrade stops no ticket of the old format
	is.NoErr(w.WaitTicket(ticketBound, plain))

	format := func(t *wire.Ticket) *wire.Ticket { t.Format = 1; return t }
	_, err = w.Nodes[3].Try(format(fleet.TeamTicket("nagasaki", "morning", plain, 3)))
	is.True(err != nil)
	is.Equal(err.Kind, core.KindOldVersion)
	is.Equal(err.Run, core.RunNot)
	for _, n := range w.Nodes[:3] {
		is.True(strings.Contains(err.Message, string(n.ID)))
	}

	// An older instance that the accepting one did not know of, or that starts later, meets the ticket all the same.
	l := w.load(caller.WithClients(10), caller.WithOutput(40))
	time.Sleep(time.Second)
	w.force(format(fleet.TeamTicket("nagasaki", "evening", plain, 4)), plain+1)
	for _, n := range w.Nodes[3:] {
		is.NoErr(fleet.Wait(ticketBound, "ticket in force", func() bool { return n.Ticket() == core.TicketNumber(plain+1) }))
	}
	for _, n := range w.Nodes[:3] {
		// Well before its state has nothing that vouches for it.
		is.NoErr(fleet.Wait(ticketBound/2, "older instance is not ready", func() bool { return !n.Ready() }))
		a := w.chat(n, ask{Output: 3})
		is.True(a.NotRun())
		is.Equal(a.Err.Kind, core.KindStaleState)
		is.Equal(n.Ticket(), core.TicketNumber(plain)) // not even a part of it
	}
	cfg := &conf.Settings{}
	conf.SetDefaults(cfg)
	client := link.New(cfg).PeerClient()
	defer client.CloseIdleConnections()
	for _, n := range w.Nodes[:3] {
		// An entry that has not heard of it yet gets its call back; the owner would run it by the state before the ticket.
		late := &core.CallRequest{RequestID: core.RequestID("late-" + n.ID), Pool: fleet.Model + "/0", Service: fleet.Service, Model: fleet.Model, Rank: "urgent", Team: "fukuoka", MaxTokens: 3}
		err := peer.New(client, 1<<20).Call(w.t.Context(), n.PeerAddress(), late, func(*core.Frame) error { return nil })
		is.Equal(core.KindOf(err), core.KindLeaving)
	}
	for _, n := range w.Nodes { // whichever instance is asked, the operator is told which ones to replace
		is.Equal(w.blocked(n), []string{"instance-0", "instance-1", "instance-2"})
	}
	time.Sleep(time.Second)
	completed, refused := end(t, l) // fails for a request that was cut off
	is.True(completed > refused)
	for _, n := range w.Nodes[3:] {
		a := w.chat(n, ask{Output: 3})
		is.True(a.Done)
	}
}

// force writes a ticket into the object API without the check of an instance.
func (w *world) force(t *wire.Ticket, number uint64) {
	is := is.New(w.t)
	t.Number = number
	b, err := state.EncodeTicket(t)
	is.NoErr(err)
	key := state.TicketKey(core.TicketNumber(number))
	req, err := http.NewRequestWithContext(w.t.Context(), http.MethodPut, "http://"+w.Platform.Addr()+"/v1/objects/"+key, bytes.NewReader(b))
	is.NoErr(err)
	req.Header.Set("If-None-Match", "*")
	resp, err := w.client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.True(resp.StatusCode < http.StatusBadRequest)
}

// blocked returns the instances of which the status at an instance says that they need a newer version.
func (w *world) blocked(n *fleet.Node) []string {
	resp, err := wire.NewOperatorProtobufClient("http://"+n.OperatorAddress(), w.client).Status(w.t.Context(), &wire.StatusRequest{})
	is.New(w.t).NoErr(err)
	var ids []string
	for _, in := range resp.GetInstances() {
		if in.GetState() == oper.StateBlocked {
			ids = append(ids, in.GetId())
		}
	}
	slices.Sort(ids)
	return ids
}
