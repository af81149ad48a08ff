package oper_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"snipeshed/conf"
	"snipeshed/core"
	"snipeshed/core/state"
	"snipeshed/io/oper"
	"snipeshed/wire"
)

// Guards against access to the operators' API without the key.
func TestOperatorKey(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	for name, c := range map[string]struct {
		digest, from, header string
		status               int
	}{
		"loopback without key":    {"", "127.0.0.1:9", "", 200},
		"loopback over IPv6":      {"", "[::1]:9", "", 200},
		"network without key":     {"", "192.0.2.1:9", "", 401},
		"right key":               {hex.EncodeToString(sum[:]), "192.0.2.1:9", "Bearer secret", 200},
		"digest in capitals":      {strings.ToUpper(hex.EncodeToString(sum[:])), "192.0.2.1:9", "Bearer secret", 200},
		"wrong key":               {hex.EncodeToString(sum[:]), "192.0.2.1:9", "Bearer other", 401},
		"loopback with key unset": {hex.EncodeToString(sum[:]), "127.0.0.1:9", "", 401},
		"digest instead of key":   {hex.EncodeToString(sum[:]), "192.0.2.1:9", "Bearer " + hex.EncodeToString(sum[:]), 401},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := oper.New(shared(), &conf.Settings{OperatorKeySha256: c.digest, MaxBodyBytes: 1 << 20}, newFaultyStore(), state.New())
			r := httptest.NewRequest(http.MethodPost, wire.OperatorPathPrefix+"Status", strings.NewReader("{}"))
			r.Header.Set("Content-Type", "application/json")
			r.Header.Set("Authorization", c.header)
			r.RemoteAddr = c.from
			w := httptest.NewRecorder()
			o.Handler().ServeHTTP(w, r)
			is.Equal(w.Code, c.status)
		})
	}
}

// Guards against an error that reaches the operator without its kind, run or remedy.
func TestErrorsOverHTTP(t *testing.T) {
	is := is.New(t)
	o, _ := start(newFaultyStore())
	srv := httptest.NewServer(o.Handler())
	defer srv.Close()
	client := wire.NewOperatorProtobufClient(srv.URL, srv.Client())
	got, err := client.Apply(t.Context(), ticket("a", 0, rank("urgent", 1)))
	is.NoErr(err)
	is.Equal(got.GetNumber(), uint64(1))
	_, err = client.Apply(t.Context(), ticket("b", 0, rank("urgent", 1)))
	checkRefusal(t, oper.ErrorFrom(err), step{kind: core.KindConflict, run: core.NotExecuted, parts: []string{"author-a"}})
	_, err = client.Show(t.Context(), &wire.ShowRequest{Number: 9})
	checkRefusal(t, oper.ErrorFrom(err), step{kind: core.KindNotFound, run: core.NotExecuted, parts: []string{"ticket 9"}})
	huge := ticket("c", 1, rank("batch", 1))
	huge.Comment = strings.Repeat("x", 2<<20)
	_, err = client.Apply(t.Context(), huge)
	checkRefusal(t, oper.ErrorFrom(err), step{kind: core.KindBadRequest, run: core.NotExecuted, parts: []string{"max_body_bytes"}})
	_, err = wire.NewOperatorProtobufClient(srv.URL+"/elsewhere", srv.Client()).Show(t.Context(), &wire.ShowRequest{})
	checkRefusal(t, oper.ErrorFrom(err), step{kind: core.KindNotFound, run: core.NotExecuted, parts: []string{"operator_address"}})
	srv.Close()
	_, err = client.Show(t.Context(), &wire.ShowRequest{})
	var e *core.Error
	is.True(!errors.As(oper.ErrorFrom(err), &e)) // it is not an error that the server sent
}

// Guards against reads whose results depend on whether the tickets are still in memory.
func TestReads(t *testing.T) {
	is, st := is.New(t), newFaultyStore()
	kept, s := start(st)
	for i, items := range [][]*wire.Item{
		{rank("urgent", 1)}, {rank("batch", 1)}, {removal("rank/batch")}, {rank("urgent", 2)}, {rank("urgent", 1), rank("new", 1)},
	} {
		_, err := kept.Apply(t.Context(), ticket(string(rune('a'+i)), uint64(i), items...))
		is.NoErr(err)
	}
	loaded, copied := start(st)
	is.NoErr(copied.Load(s.Snapshot()))
	for _, o := range []*oper.Server{kept, loaded} {
		list, err := o.List(t.Context(), &wire.ListRequest{After: 1, Limit: 3})
		is.NoErr(err)
		is.Equal(len(list.GetTickets()), 3)
		is.Equal(list.GetTickets()[0].GetId(), "b")
		shown, err := o.Show(t.Context(), &wire.ShowRequest{Number: 3})
		is.NoErr(err)
		is.Equal(shown.GetTicket().GetId(), "c")
		is.Equal(compare(t, o, 1, 3), "")                                     // created and removed in between
		is.Equal(compare(t, o, 1, 0), "rank/new +5")                          // urgent changed and changed back
		is.Equal(compare(t, o, 2, 4), "rank/batch -3 rank/urgent *4")         // one removed, one changed
		is.Equal(compare(t, o, 4, 2), "rank/batch +3 rank/urgent *4")         // backwards
		is.Equal(compare(t, o, 0, 5), "rank/new +5 rank/urgent +5")           // from the empty configuration
		_, err = o.Compare(t.Context(), &wire.CompareRequest{From: 1, To: 6}) // there is no ticket 6
		checkRefusal(t, err, step{kind: core.KindNotFound, run: core.NotExecuted})
	}
	for n := range core.TicketNumber(2) {
		st.removeTicket(t, n+1)
	}
	list, err := loaded.List(t.Context(), &wire.ListRequest{})
	is.NoErr(err)
	is.Equal([]uint64{list.GetFirstKept(), list.GetTickets()[0].GetNumber()}, []uint64{3, 3})
	_, err = loaded.Show(t.Context(), &wire.ShowRequest{Number: 2})
	checkRefusal(t, err, step{kind: core.KindNotFound, run: core.NotExecuted, parts: []string{"no longer kept", "oldest kept one is 3"}})
	is.Equal(compare(t, loaded, 4, 5), "rank/new ?5 rank/urgent *5") // no ticket up to 4 in the log sets rank/new
	_, err = loaded.Compare(t.Context(), &wire.CompareRequest{From: 1, To: 3})
	checkRefusal(t, err, step{kind: core.KindNotFound, run: core.NotExecuted, parts: []string{"ticket 2"}})
}

func compare(t *testing.T, o *oper.Server, from, to uint64) string {
	t.Helper()
	resp, err := o.Compare(t.Context(), &wire.CompareRequest{From: from, To: to})
	is.New(t).NoErr(err)
	var parts []string
	for _, d := range resp.GetDifferences() {
		sign := "*"
		if d.GetEarlierDeleted() {
			sign = "?"
		} else if d.GetBefore() == nil {
			sign = "+"
		} else if d.GetAfter() == nil {
			sign = "-"
		}
		parts = append(parts, d.GetItem()+" "+sign+string(rune('0'+d.GetSetBy())))
	}
	return strings.Join(parts, " ")
}

// fleet has 200 other instances, of which every tenth does not answer. It records how many calls run at once.
type fleet struct{ inFlight, maxInFlight atomic.Int64 }

func (f *fleet) Instances() []*wire.Instance {
	all := []*wire.Instance{{Id: "self"}}
	for i := range 200 {
		all = append(all, &wire.Instance{Id: "i" + string(rune('0'+i%10)) + string(rune('A'+i/10)), FailureDomain: "a", State: "live"})
	}
	return all
}

func (f *fleet) Digest(ctx context.Context, in *wire.Instance) (*wire.Digest, error) {
	f.maxInFlight.Store(max(f.maxInFlight.Load(), f.inFlight.Add(1)))
	defer f.inFlight.Add(-1)
	if in.GetId()[1] == '0' {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return &wire.Digest{Ticket: 7, Leaving: in.GetId() == "i1A"}, nil
}

// Guards against a status that calls all instances at once, waits long for unreachable ones or leaves them out.
func TestStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, f := is.New(t), &fleet{}
		o, s := start(newFaultyStore(), oper.WithFleet(f), oper.WithPoolStatus(func(r *wire.StatusResponse) { r.Queues = []*wire.QueueStatus{{Pool: "p"}} }))
		is.NoErr(s.Apply(&wire.Ticket{Number: 1, Items: []*wire.Item{{Body: &wire.Item_Endpoint{Endpoint: &wire.Endpoint{Name: "e"}}}}}))
		begin := time.Now()
		resp, err := o.Status(t.Context(), &wire.StatusRequest{})
		is.NoErr(err)
		is.True(time.Since(begin) < 2*time.Second)
		is.True(f.maxInFlight.Load() <= 64)
		is.Equal(len(resp.GetInstances()), 201)
		is.Equal(resp.GetInstances()[0].GetId(), "self")
		is.Equal(resp.GetInstances()[0].GetTicket(), uint64(1))
		reachable, leaving := 0, 0
		for _, in := range resp.GetInstances()[1:] {
			if in.GetReachable() {
				reachable++
				is.Equal(in.GetTicket(), uint64(7))
			}
			if in.GetState() == "leaving" {
				leaving++
			}
		}
		is.Equal([]int{reachable, leaving}, []int{180, 1})
		is.Equal([]int{len(resp.GetEndpoints()), len(resp.GetQueues())}, []int{1, 1})
	})
}
