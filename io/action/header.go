package action

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// notForwarded are request headers that endpoints must not get from a client: its key, what this package sets, and
// overrides of the method, which would let a protected call pass as another one.
var notForwarded = []string{
	"Authorization", "Expect", "Content-Length", "Host", headerFencing, headerTimeout, headerID,
	"X-Http-Method", "X-Http-Method-Override", "X-Method-Override",
}

func withoutHops(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

func requestHeader(h http.Header) http.Header {
	out := withoutHops(h)
	for _, name := range notForwarded {
		out.Del(name)
	}
	if out.Get("User-Agent") == "" {
		out["User-Agent"] = []string{""} // net/http would add its own
	}
	return out
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
}
