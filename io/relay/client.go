package relay

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"snipeshed/core"
	"snipeshed/wire"
)

// unusedAfter closes connections to peers that are not partners; it spans several stale rounds that ask the same relay.
const unusedAfter = 15 * time.Second

// client is a long-lived connection to one peer.
type client struct {
	wire.Peer
	close func()
	used  time.Time
}

// dial returns a client with its own connection pool, so that a silent connection can be dropped by itself.
func (r *Relay) dial(address string) (wire.Peer, func()) {
	// A ping and its answer each second on every idle connection would cost more
	// than the exchanges; the timeout of an exchange detects a silent connection.
	c := r.link.DigestClient()
	return wire.NewPeerProtobufClient("http://"+address, c), c.CloseIdleConnections
}

func (r *Relay) client(address string) (c *client, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c = r.clients[address]
	if fresh = c == nil; fresh {
		p, closeFn := r.dialer(address)
		c = &client{Peer: p, close: closeFn}
		r.clients[address] = c
	}
	c.used = r.Clock.Now()
	return c, fresh
}

// call runs one call to a peer; after a failure the peer is suspect and the next call opens a new connection.
func (r *Relay) call(ctx context.Context, p core.Peer, fn func(context.Context, wire.Peer) error) error {
	select {
	case r.calls <- struct{}{}:
		defer func() { <-r.calls }()
	case <-ctx.Done():
		return ctx.Err()
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	c, fresh := r.client(p.Address)
	err := fn(callCtx, c)
	if err != nil && !unserved(err) {
		r.drop(p.Address, c)
		if !fresh && callCtx.Err() == nil {
			// The peer may have closed the connection because it was idle or started again.
			if c, _ = r.client(p.Address); fn(callCtx, c) == nil {
				err = nil
			} else {
				r.drop(p.Address, c)
			}
		}
	}
	switch {
	case p.ID == "" || ctx.Err() != nil:
	case err == nil || unserved(err):
		r.members.Trust(p.ID)
	default:
		r.members.Suspect(r.Clock.Now(), p.ID)
		r.Log.WithError(err).WithField("peer", p.ID).Debug("peer did not answer")
	}
	return err
}

// unserved reports whether a peer answered that its version does not have the method; it is alive, so suspecting it would
// take its pools away during an upgrade. Something else that answers at its address does not say so.
func unserved(err error) bool {
	var e twirp.Error
	return errors.As(err, &e) && e.Code() == twirp.BadRoute && e.Meta("twirp_invalid_route") != ""
}

func (r *Relay) drop(address string, c *client) {
	r.mu.Lock()
	if r.clients[address] == c {
		delete(r.clients, address)
	}
	r.mu.Unlock()
	c.close()
}

// closeUnused closes the connections to peers that are no longer partners.
func (r *Relay) closeUnused(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	keep := make(map[string]bool, len(r.partners))
	for _, p := range r.partners {
		keep[p.Address] = true
	}
	for a, c := range r.clients {
		if !keep[a] && now.Sub(c.used) > unusedAfter {
			c.close()
			delete(r.clients, a)
		}
	}
}
