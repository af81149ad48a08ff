package action

import (
	"context"
	"net"

	"snipeshed/io/fold"
)

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// scanFolds returns a function that opens connections for one call each, on which an answer with a folded line in its head fails.
func scanFolds(dial dialFunc) dialFunc {
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &scannedConn{Conn: c}, nil
	}
}

// scannedConn is a connection for one call.
type scannedConn struct {
	net.Conn
	folds fold.Scanner
}

// Read reads from the connection, and fails once a folded line has begun.
func (c *scannedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if foldErr := c.folds.Scan(b[:n]); foldErr != nil {
		return 0, foldErr
	}
	return n, err
}
