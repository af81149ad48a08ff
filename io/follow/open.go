package follow

import (
	"context"
	"time"

	"snipeshed/core"
)

// Open opens a stream and limits the time until the engine answers, but not the time to read the stream.
func Open(ctx context.Context, limit time.Duration, open func(context.Context) (core.Stream, error)) (core.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(limit, cancel)
	s, err := open(ctx)
	if err == nil && !t.Stop() {
		_ = s.Close() // the limit has canceled its context
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		return nil, err
	}
	return &cancelableStream{Stream: s, cancel: cancel}, nil
}

// cancelableStream cancels its context when it is closed.
type cancelableStream struct {
	core.Stream
	cancel context.CancelFunc
}

// Close cancels the context and closes the stream.
func (s *cancelableStream) Close() error {
	s.cancel()
	return s.Stream.Close()
}
