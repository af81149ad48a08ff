package head_test

import (
	"bufio"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"snipeshed/io/head"
	"snipeshed/stand/broken"
)

func check(answer string) error {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(answer)), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return head.Check(resp)
}

// TestCheckMalformed guards against a malformed head that neither net/http nor Check finds.
func TestCheckMalformed(t *testing.T) {
	for _, h := range broken.Heads() {
		for _, sound := range []string{broken.Framed(http.StatusOK, "{}"), broken.Chunked(http.StatusOK, "{}")} {
			t.Run(h.Name, func(t *testing.T) {
				is.New(t).True(check(h.Spoil(sound)) != nil)
			})
		}
	}
}

// TestCheckNameBytes guards against a byte that a name may not have and that is accepted at some place of it.
func TestCheckNameBytes(t *testing.T) {
	const others = ":\n" // end the name or the line
	for b := range 256 {
		c := string([]byte{byte(b)})
		if isToken := strings.Contains("!#$%&'*+-.^_`|~0123456789", c) || b|0x20 >= 'a' && b|0x20 <= 'z'; isToken || strings.Contains(others, c) {
			continue
		}
		for _, name := range []string{c + "XBroken", "X" + c + "Broken", "XBroken" + c, c} {
			for _, sound := range []string{broken.Framed(http.StatusOK, "{}"), broken.Chunked(http.StatusOK, "{}")} {
				answer := strings.Replace(sound, "\r\n", "\r\n"+name+": 1\r\n", 1)
				if check(answer) == nil {
					t.Errorf("the name %q is accepted", name)
				}
			}
		}
	}
}

// TestCheckSound guards against a sound head that counts as malformed.
func TestCheckSound(t *testing.T) {
	for _, status := range []int{100, 103, 200, 204, 299, 304, 400, 421, 429, 500, 503, 599} {
		is.New(t).NoErr(check(broken.Framed(status, "")))
	}
	for _, line := range []string{"x-y_z.9: 1", "!#$%&'*+-.^_`|~: \xe9 (", "X-Empty:", "Set-Cookie: a=b\r\nSet-Cookie: c=d"} {
		is.New(t).NoErr(check("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n"))
	}
}

// TestCheckLongName guards against an error as long as the name that it quotes.
func TestCheckLongName(t *testing.T) {
	err := check("HTTP/1.1 200 OK\r\nX " + strings.Repeat("x", 10<<10) + ": 1\r\n\r\n")
	is.New(t).True(errors.Is(err, head.ErrMalformed))
	is.New(t).True(len(err.Error()) < 200)
}
