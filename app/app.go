package app

import (
	"context"
	"io"

	"snipeshed/conf"
)

// Run serves until ctx ends, then shuts down gracefully.
func Run(ctx context.Context, _ *conf.Settings, _ io.Writer) error {
	<-ctx.Done()
	return nil
}
