package action

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// notForwarded lists the request headers that are not forwarded from clients to endpoints: the client's credential, the
// headers that this package or net/http sets, and method overrides, with which a protected call could pass for an
// unprotected one.
var notForwarded = []string{
	"Authorization", "Expect", "Content-Length", "Host", headerFencing, headerTimeout, headerRequestID,
	"X-Http-Method", "X-Http-Method-Override", "X-Method-Override",
}

func withoutHopByHop(h http.Header) http.Header {
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

func forwardedHeader(h http.Header) http.Header {
	out := withoutHopByHop(h)
	for _, name := range notForwarded {
		out.Del(name)
	}
	if out.Get("User-Agent") == "" {
		out["User-Agent"] = []string{""} // otherwise net/http adds its own
	}
	return out
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
}
