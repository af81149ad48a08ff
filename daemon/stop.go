package daemon

import (
	"context"
	"sync"
	"time"
)

// closeTimeout bounds the wait for requests of connections that have sent none, after all open requests have ended.
const closeTimeout = 2 * time.Second

// stop shuts down gracefully: readiness fails, peers hear of it, queued calls go
// to other instances, every open request ends, then the listeners close.
func (d *Daemon) stop() {
	if d.killed.Load() {
		d.cut()
		return
	}
	d.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), ms(d.cfg.GetStopTimeoutMs()+d.cfg.GetLeaveDelayMs()))
	defer cancel()
	d.clients.Retire()
	d.relay.Leave(ctx)
	d.Log.Info("instance is leaving")
	d.sleep(ctx, ms(d.cfg.GetLeaveDelayMs()))

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

func (d *Daemon) sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (d *Daemon) close() {
	d.relay.Close()
	d.host.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var g sync.WaitGroup // a client that sends nothing uses up the timeout, which the other listeners need too
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

// Kill makes the instance end without draining: connections are cut as by the end of its process.
// It stands for a crash where several instances share a process.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	for _, s := range d.servers {
		_ = s.Close() // also before Run has served on it
	}
	d.cancel()
}

// cut ends everything that goes on after the connections were closed.
func (d *Daemon) cut() {
	d.relay.Close()
	d.host.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.action.Close(ended) // ctx has ended: outcomes stay unrecorded, as after a crash
	d.store.Close()
}
