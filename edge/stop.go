package edge

import (
	"context"
	"errors"
	"time"

	"snipeshed/conf"
	"snipeshed/io/event"
)

// Stop shuts the instance down: it fails the readiness probes, accepts calls for another unreadyGrace, waits for all open
// calls, and cuts off those that remain when the stop timeout ends.
func (e *Edge) Stop() {
	timeout := time.Duration(e.cfg.GetStopTimeoutS()*float64(time.Second)) - stopMargin
	begun := time.Now()
	e.stopping.Store(true)
	e.gate.SetStopTime(begun.Add(timeout))
	e.callerServer.CloseAfterNextAnswer()
	e.pulse.Broadcast()
	e.log.Emit(event.Stopping, event.Fields{"open": e.gate.Meter.OpenCalls.Load(), "timeout_ms": timeout.Milliseconds()})
	time.Sleep(min(unreadyGrace, timeout/2))
	ctx, cancel := context.WithTimeout(e.ctx, timeout-time.Since(begun))
	defer cancel()
	if err := e.callerServer.Shutdown(ctx); err != nil {
		e.log.Emit(event.Cut, event.Fields{"open": e.gate.Meter.OpenCalls.Load(), "error": "the stop timeout has passed"})
	}
	e.Close()
	e.log.Emit(event.Stopped, event.Fields{"after_ms": time.Since(begun).Milliseconds()})
	e.log.Close()
}

// Close stops all components at once, cuts off open calls and waits until all goroutines have ended.
func (e *Edge) Close() {
	e.cancel()
	_ = e.callerServer.Close()
	_ = e.closeServers()
	e.probe.Close()
	e.watch.Close()
	e.pulse.Close()
	e.dial.Close()
	e.mover.Close()
	e.store.Close()
	e.group.Wait()
}

func (e *Edge) closeServers() error {
	var errs []error
	for _, s := range e.servers {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// LogReload logs the result of loading the settings file after SIGHUP. No setting changes until the next start.
func (e *Edge) LogReload(cfg *conf.EdgeSettings, err error) {
	fields := event.Fields{"error": err}
	if err == nil {
		fields["instance_name"] = cfg.GetInstance()
	}
	e.log.Emit(event.Reloaded, fields)
}
