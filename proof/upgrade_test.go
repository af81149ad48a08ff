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

// TestRollingUpgrade guards against accepting a ticket of a newer format while an older instance serves. If an older instance
// reads such a ticket nevertheless, it must refuse new calls, since it cannot apply the ticket, and finish those it has.
func TestRollingUpgrade(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	tf := startFleet(t)
	newer := daemon.WithStateOptions(state.WithFormat(1))
	tf.SetDaemonOptions(newer)
	for range 2 { // instances 0 to 2 keep running the old version
		_, err := tf.AddNode()
		is.NoErr(err)
	}
	is.NoErr(tf.WaitReady(startLimit))
	is.NoErr(fleet.Wait(startLimit, "every instance knows the others", func() bool {
		for _, n := range tf.Nodes {
			if n.LivePeerCount() < len(tf.Nodes)-1 {
				return false
			}
		}
		return true
	}))
	plain, err := tf.Nodes[3].ApplyTyped(fleet.TeamTicket("nagasaki", "morning", 1, 2))
	is.True(err == nil) // tickets of the old format are still accepted during the upgrade
	is.NoErr(tf.WaitTicket(ticketBound, plain))

	format := func(t *wire.Ticket) *wire.Ticket { t.Format = 1; return t }
	_, err = tf.Nodes[3].ApplyTyped(format(fleet.TeamTicket("nagasaki", "morning", plain, 3)))
	is.True(err != nil)
	is.Equal(err.Kind, core.KindOldVersion)
	is.Equal(err.Execution, core.NotExecuted)
	for _, n := range tf.Nodes[:3] {
		is.True(strings.Contains(err.Message, string(n.ID)))
	}

	// An older instance that the accepting one did not know of, or that starts later, still reads the ticket.
	l := tf.load(caller.WithClients(10), caller.WithMinOutputTokens(40))
	time.Sleep(time.Second)
	tf.writeTicketToStore(format(fleet.TeamTicket("nagasaki", "evening", plain, 4)), plain+1)
	for _, n := range tf.Nodes[3:] {
		is.NoErr(fleet.Wait(ticketBound, "ticket in force", func() bool { return n.TicketNumber() == core.TicketNumber(plain+1) }))
	}
	for _, n := range tf.Nodes[:3] {
		// Well before it would stop because its configuration is no longer confirmed.
		is.NoErr(fleet.Wait(ticketBound/2, "older instance is not ready", func() bool { return !n.Ready() }))
		a := tf.chat(n, chatRequest{OutputTokens: 3})
		is.True(a.NotRun())
		is.Equal(a.Err.Kind, core.KindStaleState)
		is.Equal(n.TicketNumber(), core.TicketNumber(plain)) // no part of the ticket is applied
	}
	cfg := &conf.Settings{}
	conf.SetDefaults(cfg)
	client := link.New(cfg).PeerClient()
	defer client.CloseIdleConnections()
	for _, n := range tf.Nodes[:3] {
		// An older owner must refuse a call from an entry that does not know of the ticket yet, instead of serving it with the
		// configuration before the ticket.
		late := &core.CallRequest{RequestID: core.RequestID("late-" + n.ID), Pool: fleet.Model + "/0", Service: fleet.Service, Model: fleet.Model, Rank: "urgent", Team: "fukuoka", MaxTokens: 3}
		err := peer.New(client, 1<<20).Call(tf.t.Context(), n.PeerAddress(), late, func(*core.Frame) error { return nil })
		is.Equal(core.ErrorKindOf(err), core.KindLeaving)
	}
	for _, n := range tf.Nodes { // the status of every instance shows which ones to replace
		is.Equal(tf.blockedInstances(n), []string{"instance-0", "instance-1", "instance-2"})
	}
	time.Sleep(time.Second)
	completed, refused := endLoad(t, l) // fails if a request was aborted
	is.True(completed > refused)
	for _, n := range tf.Nodes[3:] {
		a := tf.chat(n, chatRequest{OutputTokens: 3})
		is.True(a.Done)
	}
}

// writeTicketToStore writes a ticket directly to the platform's store, without the validation of an instance.
func (tf *testFleet) writeTicketToStore(t *wire.Ticket, number uint64) {
	is := is.New(tf.t)
	t.Number = number
	b, err := state.EncodeTicket(t)
	is.NoErr(err)
	key := state.TicketKey(core.TicketNumber(number))
	req, err := http.NewRequestWithContext(tf.t.Context(), http.MethodPut, "http://"+tf.Platform.Addr()+"/v1/objects/"+key, bytes.NewReader(b))
	is.NoErr(err)
	req.Header.Set("If-None-Match", "*")
	resp, err := tf.client.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.True(resp.StatusCode < http.StatusBadRequest)
}

// blockedInstances returns the instances that need a newer version according to the status command at an instance.
func (tf *testFleet) blockedInstances(n *fleet.Node) []string {
	resp, err := wire.NewOperatorProtobufClient("http://"+n.OperatorAddress(), tf.client).Status(tf.t.Context(), &wire.StatusRequest{})
	is.New(tf.t).NoErr(err)
	var ids []string
	for _, in := range resp.GetInstances() {
		if in.GetState() == oper.StateBlocked {
			ids = append(ids, in.GetId())
		}
	}
	slices.Sort(ids)
	return ids
}
