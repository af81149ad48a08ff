package fold_test

import (
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"snipeshed/io/fold"
	"snipeshed/io/head"
	"snipeshed/stand/broken"
)

const interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"

// scan reads an answer in pieces of n bytes.
func scan(answer string, n int) error {
	var s fold.Scanner
	for ; len(answer) > n; answer = answer[n:] {
		if err := s.Scan([]byte(answer[:n])); err != nil {
			return err
		}
	}
	return s.Scan([]byte(answer))
}

// TestFolded guards against a folded line that is not found, however its bytes arrive.
func TestFolded(t *testing.T) {
	for _, h := range broken.Folds() {
		for _, before := range []string{"", interim} {
			answer := before + h.Spoil(broken.Framed(http.StatusOK, "{}"))
			for n := 1; n <= len(answer); n++ {
				is.New(t).True(errors.Is(scan(answer, n), head.ErrMalformed))
			}
		}
	}
}

// TestSound guards against a sound answer that counts as one with a folded line.
func TestSound(t *testing.T) {
	for _, answer := range []string{
		broken.Framed(http.StatusOK, " a\r\n b\n\tc"),
		interim + broken.Chunked(http.StatusOK, "\r\n b"),
		"HTTP/1.1 200 OK\nX-Empty:\nX-Blank: \n\n a",
		"HTTP/1.1 200 OK\r\nX: \r\n\r\n\r\n a",
		"HTTP/1.0 200\r\n\r\n a",
	} {
		for n := 1; n <= len(answer); n++ {
			is.New(t).NoErr(scan(answer, n))
		}
	}
}
