package daemon

import (
	"context"
	"time"
)

// closeTimeout bounds the end of idle connections after all requests have ended.
const closeTimeout = 2 * time.Second

// stop shuts down gracefully: readiness fails, peers hear of it, queued calls go
// to other instances, every open request ends, then the listeners close.
func (a *Daemon) stop() {
	if a.killed.Load() {
		a.cut()
		return
	}
	a.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), ms(a.cfg.GetStopTimeoutMs()+a.cfg.GetLeaveDelayMs()))
	defer cancel()
	a.relay.Leave(ctx)
	a.Log.Info("instance is leaving")
	a.sleep(ctx, ms(a.cfg.GetLeaveDelayMs()))

	drained := make(chan struct{})
	go func() {
		a.host.Drain()
		close(drained)
	}()
	if err := a.entry.Drain(ctx); err != nil {
		a.Log.WithError(err).Error("open requests are cut off; raise stop_timeout_ms")
	}
	select {
	case <-drained:
	case <-ctx.Done():
		a.Log.Error("calls of other instances are cut off; raise stop_timeout_ms")
	}
	if err := a.action.Close(ctx); err != nil {
		a.Log.WithError(err).Error("outcomes of protected actions are not all recorded")
	}
	a.close()
	<-drained
}

func (a *Daemon) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (a *Daemon) close() {
	a.relay.Close()
	a.host.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, s := range a.servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close() // a connection stayed open past the timeout
		}
	}
	a.store.Close()
}

// Kill makes the instance end without draining: connections are cut as by the end of its process.
// It stands for a crash where several instances share a process.
func (a *Daemon) Kill() {
	a.killed.Store(true)
	for _, s := range a.servers {
		_ = s.Close() // also before Run has served on it
	}
	a.cancel()
}

// cut ends everything that goes on after the connections were closed.
func (a *Daemon) cut() {
	a.relay.Close()
	a.host.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = a.action.Close(ended) // ctx has ended: outcomes stay unrecorded, as after a crash
	a.store.Close()
}
