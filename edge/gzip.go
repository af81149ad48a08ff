package edge

import (
	"compress/gzip"
	"io"
	"net/http"
	"strings"
	"sync"
)

// minCompressedBytes is the size of an answer from which on it is compressed.
const minCompressedBytes = 1 << 10

// compressors holds writers for reuse; each has tables of some hundred KB.
var compressors = sync.Pool{New: func() any {
	z, _ := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed) // fails only for an unknown level
	return z
}}

// compressed returns a handler whose larger answers are compressed for callers that accept it. The entries of endpoints, which
// instances fetch from each other, have most of their text in common.
func compressed(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			h.ServeHTTP(w, r)
			return
		}
		cw := &compressedWriter{ResponseWriter: w, status: http.StatusOK}
		h.ServeHTTP(cw, r)
		cw.close()
	})
}

// compressedWriter compresses the body of an answer if its first part is large enough. The head is written with that part.
type compressedWriter struct {
	http.ResponseWriter
	status  int
	started bool
	z       *gzip.Writer // nil if the body is not compressed
}

// WriteHeader sets the status of the answer.
func (w *compressedWriter) WriteHeader(status int) { w.status = status }

// Write writes a part of the body.
func (w *compressedWriter) Write(b []byte) (int, error) {
	if !w.started {
		w.start(len(b) >= minCompressedBytes)
	}
	if w.z != nil {
		return w.z.Write(b)
	}
	return w.ResponseWriter.Write(b)
}

func (w *compressedWriter) start(compress bool) {
	w.started = true
	if compress {
		w.Header().Del("Content-Length")
		w.Header().Set("Content-Encoding", "gzip")
		w.z = compressors.Get().(*gzip.Writer)
		w.z.Reset(w.ResponseWriter)
	}
	w.ResponseWriter.WriteHeader(w.status)
}

func (w *compressedWriter) close() {
	if !w.started {
		w.start(false)
	}
	if w.z != nil {
		_ = w.z.Close() // an error means that the caller has left
		compressors.Put(w.z)
	}
}
