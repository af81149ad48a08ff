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

// inspector collects the state of all pools for the operators' status.
type inspector struct {
	daemon *Daemon
	client *http.Client
}

func newInspector(d *Daemon) *inspector {
	return &inspector{daemon: d, client: link.New(d.cfg).PeerClient()}
}

// Pools returns the endpoints and queues of the pools that are open at this instance.
func (i *inspector) Pools(context.Context, *wire.PoolsRequest) (*wire.PoolsResponse, error) {
	out := &wire.PoolsResponse{}
	for id, p := range i.daemon.host.Pools() {
		for _, r := range p.Load().Ranks {
			out.Queues = append(out.Queues, &wire.QueueStatus{
				Pool: string(id), Rank: string(r.Rank), Waiting: int64(r.Waiting), ExpectedWaitMs: r.ExpectedWait.Milliseconds(),
			})
		}
		orders := p.OrderStates()
		for ep, info := range p.Reports() {
			out.Endpoints = append(out.Endpoints, i.endpointStatus(id, ep, info, orders[ep]))
		}
	}
	return out, nil
}

func (i *inspector) endpointStatus(id core.PoolID, ep core.EndpointID, info core.RunnerInfo, o order.State) *wire.EndpointStatus {
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
	maxInspectCalls = 64 // concurrent calls
	inspectTimeout  = time.Second
)

// addPoolStatus asks the owners of all pools for their endpoints and queues and adds these to the status.
func (i *inspector) addPoolStatus(s *wire.StatusResponse) {
	cfg := i.daemon.state.Config()
	statusByEndpoint := map[string]*wire.EndpointStatus{}
	for _, e := range s.GetEndpoints() {
		statusByEndpoint[e.GetName()] = e
	}
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(maxInspectCalls)
	for owner, pools := range i.poolsByOwner() {
		g.Go(func() error {
			i.daemon.Protect("asking the owner of a pool", func() {
				got, err := i.queryOwner(owner)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					i.markUnanswered(statusByEndpoint, owner, pools)
					return
				}
				mergeOwnerStatus(s, statusByEndpoint, pools, got)
			})
			return nil
		})
	}
	for _, e := range s.GetEndpoints() {
		if ep := cfg.Endpoints[core.EndpointID(e.GetName())]; ep.GetService() != "" {
			e.State = "service " + ep.GetService()
		}
	}
	_ = g.Wait() // endpoints whose owner does not answer are marked
	slices.SortFunc(s.Queues, func(a, b *wire.QueueStatus) int {
		return cmp.Or(cmp.Compare(a.GetPool(), b.GetPool()), cmp.Compare(a.GetRank(), b.GetRank()))
	})
}

// poolsByOwner returns the pools of each instance that owns any.
func (i *inspector) poolsByOwner() map[core.Peer][]core.PoolID {
	out := map[core.Peer][]core.PoolID{}
	now := i.daemon.Clock.Now()
	for _, id := range i.daemon.host.Partition().AllPools() {
		if o := i.daemon.members.Owners(now, host.OwnerKey(id), 1); len(o) > 0 {
			out[o[0]] = append(out[o[0]], id)
		}
	}
	return out
}

// queryOwner returns the endpoints and queues of an instance, which may be this one.
func (i *inspector) queryOwner(owner core.Peer) (*wire.PoolsResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inspectTimeout)
	defer cancel()
	if owner.ID == i.daemon.members.Self().ID {
		return i.Pools(ctx, &wire.PoolsRequest{})
	}
	return wire.NewInspectProtobufClient("http://"+owner.Address, i.client).Pools(ctx, &wire.PoolsRequest{})
}

// markUnanswered marks the endpoints of pools whose owner does not answer.
func (i *inspector) markUnanswered(statusByEndpoint map[string]*wire.EndpointStatus, owner core.Peer, pools []core.PoolID) {
	for _, id := range pools {
		for _, ep := range i.daemon.host.Partition().Endpoints(id) {
			if row := statusByEndpoint[string(ep)]; row != nil {
				row.Pool, row.Owner, row.State = string(id), string(owner.ID), "owner does not answer"
			}
		}
	}
}

// mergeOwnerStatus adds an owner's response to the status. It ignores pools not in pools, which an instance may still have
// open after another has become the owner.
func mergeOwnerStatus(s *wire.StatusResponse, statusByEndpoint map[string]*wire.EndpointStatus, pools []core.PoolID, got *wire.PoolsResponse) {
	for _, e := range got.GetEndpoints() {
		if row := statusByEndpoint[e.GetName()]; row != nil && slices.Contains(pools, core.PoolID(e.GetPool())) {
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
