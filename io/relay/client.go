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
func (g *Gossiper) dial(address string) (wire.Peer, func()) {
	// HTTP/2 pings each second on every idle connection would cost more bytes than the
	// exchanges; the timeout of an exchange detects an unresponsive connection.
	c := g.link.DigestClient()
	return wire.NewPeerProtobufClient("http://"+address, c), c.CloseIdleConnections
}

func (g *Gossiper) client(address string) (c *client, isNew bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c = g.clients[address]
	if isNew = c == nil; isNew {
		p, closeFn := g.dialer(address)
		c = &client{Peer: p, close: closeFn}
		g.clients[address] = c
	}
	c.lastUsed = g.Clock.Now()
	return c, isNew
}

// call makes one call to a peer; after a failure the peer is marked suspect and the next call opens a new connection.
func (g *Gossiper) call(ctx context.Context, p core.Peer, fn func(context.Context, wire.Peer) error) error {
	select {
	case g.callSlots <- struct{}{}:
		defer func() { <-g.callSlots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	protected := func(c wire.Peer) error {
		err := core.ErrPanicked
		g.Protect("a call to a peer", func() { err = fn(callCtx, c) })
		return err
	}
	c, isNew := g.client(p.Address)
	err := protected(c)
	if err != nil && !isMethodMissing(err) {
		g.dropClient(p.Address, c)
		if !isNew && callCtx.Err() == nil {
			// The peer may have closed the connection because it was idle, or may have restarted.
			if c, _ = g.client(p.Address); protected(c) == nil {
				err = nil
			} else {
				g.dropClient(p.Address, c)
			}
		}
	}
	switch {
	case p.ID == "" || ctx.Err() != nil:
	case err == nil || isMethodMissing(err):
		g.members.ClearSuspicion(p.ID)
	default:
		g.members.MarkSuspect(g.Clock.Now(), p.ID)
		g.Log.WithError(err).WithField("peer", p.ID).Debug("call to a peer failed")
	}
	return err
}

// isMethodMissing reports whether a peer answered that its version lacks the method. Such a peer is alive, and marking it
// suspect would move its pools during an upgrade. A different server at its address does not answer this way.
func isMethodMissing(err error) bool {
	var e twirp.Error
	return errors.As(err, &e) && e.Code() == twirp.BadRoute && e.Meta("twirp_invalid_route") != ""
}

func (g *Gossiper) dropClient(address string, c *client) {
	g.mu.Lock()
	if g.clients[address] == c {
		delete(g.clients, address)
	}
	g.mu.Unlock()
	c.close()
}

// closeIdleClients closes idle connections to peers that are not partners.
func (g *Gossiper) closeIdleClients(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	keep := make(map[string]bool, len(g.partners))
	for _, p := range g.partners {
		keep[p.Address] = true
	}
	for a, c := range g.clients {
		if !keep[a] && now.Sub(c.lastUsed) > clientIdleTimeout {
			c.close()
			delete(g.clients, a)
		}
	}
}
