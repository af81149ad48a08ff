package follow

import (
	"context"
	"time"

	"snipeshed/core"
)

// Open opens a stream and bounds the time until the engine answers, but not the stream that follows.
func Open(ctx context.Context, limit time.Duration, open func(context.Context) (core.Stream, error)) (core.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(limit, cancel)
	s, err := open(ctx)
	if err == nil && !t.Stop() {
		_ = s.Close() // the context that it reads with has ended
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return &boundStream{Stream: s, cancel: cancel}, nil
}

// boundStream ends its context with the reading.
type boundStream struct {
	core.Stream
	cancel context.CancelFunc
}

// Close ends reading.
func (s *boundStream) Close() error {
	s.cancel()
	return s.Stream.Close()
}
