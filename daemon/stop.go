package daemon

import (
	"context"
	"sync"
	"time"
)

// closeTimeout bounds the wait for connections that have not sent a request, after all open requests have ended.
const closeTimeout = 2 * time.Second

// stop shuts down gracefully: readiness fails, other instances are notified, queued calls of the pools are refused so that the
// instances that sent them try others, open requests finish, then the listeners close.
func (d *Daemon) stop() {
	if d.killed.Load() {
		d.closeAfterKill()
		return
	}
	d.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), ms(d.cfg.GetStopTimeoutMs()+d.cfg.GetLeaveDelayMs()))
	defer cancel()
	d.clients.CloseAfterNextAnswer()
	d.gossiper.Leave(ctx)
	d.Log.Info("instance is leaving")
	d.sleepOrDone(ctx, ms(d.cfg.GetLeaveDelayMs()))

	drained := make(chan struct{})
	go func() {
		d.host.Drain()
		close(drained)
	}()
	if err := d.entry.Drain(ctx); err != nil {
		d.Log.WithError(err).Error("open requests are cut off; raise stop_timeout_ms")
	}
	select {
	case <-drained:
	case <-ctx.Done():
		d.Log.Error("calls of other instances are cut off; raise stop_timeout_ms")
	}
	if err := d.action.Close(ctx); err != nil {
		d.Log.WithError(err).Error("outcomes of protected actions are not all recorded")
	}
	d.close()
	<-drained
}

func (d *Daemon) sleepOrDone(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (d *Daemon) close() {
	d.gossiper.Close()
	d.host.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var g sync.WaitGroup // servers share the timeout, which a client that sends nothing uses up
	for _, s := range d.servers {
		g.Go(func() {
			if s.Shutdown(ctx) != nil {
				_ = s.Close() // a connection stayed open past the timeout
			}
		})
	}
	g.Wait()
	d.store.Close()
}

// Kill ends the instance without draining and closes its connections, as the end of its process would. It simulates a crash
// when several instances share a process.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	for _, s := range d.servers {
		_ = s.Close() // Run may not have started to serve on it
	}
	d.cancelKillCtx()
}

// closeAfterKill closes the components that still run after Kill has closed the connections.
func (d *Daemon) closeAfterKill() {
	d.gossiper.Close()
	d.host.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.action.Close(ended) // with an ended context, outcomes stay unrecorded, as after a crash
	d.store.Close()
}
