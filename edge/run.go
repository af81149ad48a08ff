package edge

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"snipeshed/conf"
)

// load loads the settings file and applies the options.
func load(path string, opts []SettingOption) (*conf.EdgeSettings, error) {
	cfg, err := conf.LoadEdge(path)
	for _, opt := range opts {
		if err == nil {
			err = opt(cfg)
		}
	}
	return cfg, err
}

// Run runs an instance until ctx ends or SIGTERM or SIGINT arrives; SIGHUP checks the settings file again.
func Run(ctx context.Context, path string, out io.Writer, opts ...SettingOption) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // the process must survive when the reader of its log exits
	cfg, err := load(path, opts)
	if err != nil {
		return err
	}
	e, err := New(cfg, out)
	if err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			e.Stop()
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				e.LogReload(load(path, opts))
				continue
			}
			e.Stop()
			return nil
		}
	}
}
