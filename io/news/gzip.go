package news

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
)

// maxRules bounds what a compressed configuration may grow to.
const maxRules = 64 << 20

// pack compresses a configuration: one of 2,000 routes has some 400 KB, which a hundred instances would fetch at once.
func pack(raw []byte) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(raw); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return b.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(r, maxRules))
	if err != nil {
		return nil, fmt.Errorf("decompress configuration: %w", err)
	}
	return raw, nil
}
