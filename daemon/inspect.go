package daemon

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"snipeshed/core"
	"snipeshed/core/order"
	"snipeshed/io/host"
	"snipeshed/io/link"
	"snipeshed/wire"
)

// inspector shows the pools of the fleet to operators.
type inspector struct {
	daemon *Daemon
	client *http.Client
}

func newInspector(d *Daemon) *inspector {
	return &inspector{daemon: d, client: link.New(d.cfg).PeerClient()}
}

// Pools gives endpoints and queues of the pools that are open here.
func (i *inspector) Pools(context.Context, *wire.PoolsRequest) (*wire.PoolsResponse, error) {
	out := &wire.PoolsResponse{}
	for id, p := range i.daemon.host.Pools() {
		for _, r := range p.Load().Ranks {
			out.Queues = append(out.Queues, &wire.QueueStatus{
				Pool: string(id), Rank: string(r.Rank), Waiting: int64(r.Waiting), ExpectedWaitMs: r.ExpectedWait.Milliseconds(),
			})
		}
		orders := p.Orders()
		for ep, info := range p.Reports() {
			out.Endpoints = append(out.Endpoints, i.endpoint(id, ep, info, orders[ep]))
		}
	}
	return out, nil
}

func (i *inspector) endpoint(id core.PoolID, ep core.EndpointID, info core.RunnerInfo, o order.State) *wire.EndpointStatus {
	state := "not accepting"
	if info.Accepting {
		state = "accepting"
	}
	if o != order.StateDone {
		state += ", " + string(o)
	}
	return &wire.EndpointStatus{
		Name: string(ep), Pool: string(id), Owner: string(i.daemon.members.Self().ID), State: state,
		Running: int64(info.Load.Running), KvUsed: int64(info.Load.KVUsed), KvCapacity: int64(info.Load.KVCapacity),
	}
}

const (
	inspectFanOut  = 64 // calls in flight
	inspectTimeout = time.Second
)

// addLoad asks the owners of all pools for endpoints and queues and fills them into the status.
func (i *inspector) addLoad(s *wire.StatusResponse) {
	cfg := i.daemon.state.Config()
	rows := map[string]*wire.EndpointStatus{}
	for _, e := range s.GetEndpoints() {
		rows[e.GetName()] = e
	}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(inspectFanOut)
	for owner, pools := range i.owners() {
		g.Go(func() error {
			got, err := i.ask(owner)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				i.unanswered(rows, owner, pools)
				return nil
			}
			fill(s, rows, pools, got)
			return nil
		})
	}
	for _, e := range s.GetEndpoints() {
		if ep := cfg.Endpoints[core.EndpointID(e.GetName())]; ep.GetService() != "" {
			e.State = "service " + ep.GetService()
		}
	}
	_ = g.Wait() // an owner that does not answer is shown as such
	slices.SortFunc(s.Queues, func(a, b *wire.QueueStatus) int {
		return cmp.Or(cmp.Compare(a.GetPool(), b.GetPool()), cmp.Compare(a.GetRank(), b.GetRank()))
	})
}

func (i *inspector) owners() map[core.Peer][]core.PoolID {
	out := map[core.Peer][]core.PoolID{}
	now := i.daemon.Clock.Now()
	for _, id := range i.daemon.host.Shard().All() {
		if o := i.daemon.members.Owners(now, host.Resource(id), 1); len(o) > 0 {
			out[o[0]] = append(out[o[0]], id)
		}
	}
	return out
}

func (i *inspector) ask(owner core.Peer) (*wire.PoolsResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	if owner.ID == i.daemon.members.Self().ID {
		return i.Pools(ctx, &wire.PoolsRequest{})
	}
	return wire.NewInspectProtobufClient("http://"+owner.Address, i.client).Pools(ctx, &wire.PoolsRequest{})
}

func (i *inspector) unanswered(rows map[string]*wire.EndpointStatus, owner core.Peer, pools []core.PoolID) {
	for _, id := range pools {
		for _, ep := range i.daemon.host.Shard().Endpoints(id) {
			if row := rows[string(ep)]; row != nil {
				row.Pool, row.Owner, row.State = string(id), string(owner.ID), "owner does not answer"
			}
		}
	}
}

// fill takes the owner's word on its own pools only; a former owner may still have others open.
func fill(s *wire.StatusResponse, rows map[string]*wire.EndpointStatus, pools []core.PoolID, got *wire.PoolsResponse) {
	for _, e := range got.GetEndpoints() {
		if row := rows[e.GetName()]; row != nil && slices.Contains(pools, core.PoolID(e.GetPool())) {
			row.Pool, row.Owner, row.State = e.Pool, e.Owner, e.State
			row.Running, row.KvUsed, row.KvCapacity = e.Running, e.KvUsed, e.KvCapacity
		}
	}
	for _, q := range got.GetQueues() {
		if slices.Contains(pools, core.PoolID(q.GetPool())) {
			s.Queues = append(s.Queues, q)
		}
	}
}
