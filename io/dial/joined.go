package dial

import (
	"errors"
	"net/http"
	"regexp"
)

var errJoinedHeads = errors.New("the endpoint's response was cut off in its head, and the head of the next one follows")

// statusLineEnd matches a status line at the end of a line.
var statusLineEnd = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}( [^\r\n]*)?$`)

// hasJoinedHeads reports whether the head or the trailer of a response was cut off within a line and continues with the status
// line and the headers of the next response. It has the status of one response and headers of both.
func hasJoinedHeads(resp *http.Response) bool {
	return statusLineEnd.MatchString(resp.Status) || hasStatusLine(resp.Header) || hasStatusLine(resp.Trailer)
}

func hasStatusLine(h http.Header) bool {
	for _, values := range h {
		for _, v := range values {
			if statusLineEnd.MatchString(v) {
				return true
			}
		}
	}
	return false
}
