package relay

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"snipeshed/core"
	"snipeshed/wire"
)

// clientIdleTimeout is the idle time after which the connection to a peer that is not a partner is closed. It is long enough
// to reuse the connection to a relay that is asked several times because the state is close to stale.
const clientIdleTimeout = 15 * time.Second

// client is a long-lived connection to one peer.
type client struct {
	wire.Peer
	close    func()
	lastUsed time.Time
}

// dial returns a client with its own connection pool, so that one unresponsive connection can be dropped without the others.
func (r *Relay) dial(address string) (wire.Peer, func()) {
	// HTTP/2 pings each second on every idle connection would cost more bytes than the
	// exchanges; the timeout of an exchange detects an unresponsive connection.
	c := r.link.DigestClient()
	return wire.NewPeerProtobufClient("http://"+address, c), c.CloseIdleConnections
}

func (r *Relay) client(address string) (c *client, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c = r.clients[address]
	if isNew = c == nil; isNew {
		p, closeFn := r.dialer(address)
		c = &client{Peer: p, close: closeFn}
		r.clients[address] = c
	}
	c.lastUsed = r.Clock.Now()
	return c, isNew
}

// call makes one call to a peer; after a failure the peer is marked suspect and the next call opens a new connection.
func (r *Relay) call(ctx context.Context, p core.Peer, fn func(context.Context, wire.Peer) error) error {
	select {
	case r.callSlots <- struct{}{}:
		defer func() { <-r.callSlots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	c, isNew := r.client(p.Address)
	err := fn(callCtx, c)
	if err != nil && !isMethodMissing(err) {
		r.dropClient(p.Address, c)
		if !isNew && callCtx.Err() == nil {
			// The peer may have closed the connection because it was idle, or may have restarted.
			if c, _ = r.client(p.Address); fn(callCtx, c) == nil {
				err = nil
			} else {
				r.dropClient(p.Address, c)
			}
		}
	}
	switch {
	case p.ID == "" || ctx.Err() != nil:
	case err == nil || isMethodMissing(err):
		r.members.ClearSuspicion(p.ID)
	default:
		r.members.MarkSuspect(r.Clock.Now(), p.ID)
		r.Log.WithError(err).WithField("peer", p.ID).Debug("call to a peer failed")
	}
	return err
}

// isMethodMissing reports whether a peer answered that its version lacks the method. Such a peer is alive, and marking it
// suspect would move its pools during an upgrade. A different server at its address does not answer this way.
func isMethodMissing(err error) bool {
	var e twirp.Error
	return errors.As(err, &e) && e.Code() == twirp.BadRoute && e.Meta("twirp_invalid_route") != ""
}

func (r *Relay) dropClient(address string, c *client) {
	r.mu.Lock()
	if r.clients[address] == c {
		delete(r.clients, address)
	}
	r.mu.Unlock()
	c.close()
}

// closeIdleClients closes idle connections to peers that are not partners.
func (r *Relay) closeIdleClients(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	keep := make(map[string]bool, len(r.partners))
	for _, p := range r.partners {
		keep[p.Address] = true
	}
	for a, c := range r.clients {
		if !keep[a] && now.Sub(c.lastUsed) > clientIdleTimeout {
			c.close()
			delete(r.clients, a)
		}
	}
}
