package dial_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"snipeshed/io/dial"
	"snipeshed/platform"
)

// TestBodyWithBlankLines guards against a body whose lines begin with blanks and count as lines of the head, on a new connection, on a
// reused one, and after answers to other requests.
func TestBodyWithBlankLines(t *testing.T) {
	const text = "\r\n a: 1\n\tb\r\n\r\n c"
	is := is.New(t)
	d := dial.New(platform.Codec{})
	defer d.Close()
	e := startEndpoint(t, func(_ int32, c net.Conn, br *bufio.Reader) {
		for id := readRequest(br); id != ""; id = readRequest(br) {
			own := framedText(id, text)
			for i, part := range []string{"HTTP/1.1 103 Early Hints\r\n\r\n", framedText("other", text), own[:50], own[50:]} {
				if id == "r-1" && i < 2 {
					continue
				}
				_, _ = io.WriteString(c, part)
				time.Sleep(time.Millisecond)
			}
		}
	})
	for i := range 3 {
		got, err := sendAndRead(t.Context(), d, e, newRequest(fmt.Sprint("r-", i+1), 0))
		is.NoErr(err)
		is.Equal(got, text)
	}
}

// TestFoldedLineInPieces guards against a folded line that is not found because it arrives in parts, after an answer to another
// request, or together with the end of the answer before.
func TestFoldedLineInPieces(t *testing.T) {
	folded := answerText("r", "X: 1\r\n Content-Length: 2\r\n", "no")
	for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n", framedText("other", " a")} {
		answer := before + folded
		for n := len(before); n < len(answer); n += 7 {
			t.Run(fmt.Sprintf("%d and %d bytes", n, len(answer)-n), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				d := dial.New(platform.Codec{})
				defer d.Close()
				e := startEndpoint(t, func(_ int32, c net.Conn, br *bufio.Reader) {
					readRequest(br)
					_, _ = io.WriteString(c, answer[:n])
					time.Sleep(5 * time.Millisecond)
					_, _ = io.WriteString(c, answer[n:])
				})
				r := newRequest("r", 0)
				r.Method = http.MethodGet
				_, err := d.Send(t.Context(), e, r)
				is.True(err != nil)
			})
		}
	}
}
