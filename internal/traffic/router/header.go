package router

import (
	"net/http"
	"strings"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reservedHeaders are exchanged between callers and daisyhead only. They are
// removed from forwarded requests and responses.
var reservedHeaders = []string{"Authorization", HeaderIdempotent, HeaderClass, HeaderTimeout, HeaderRequestID, HeaderOutcome, HeaderReplayed, HeaderMinion}

// minionRequestHeader returns a copy of the caller's header without the headers
// that are not forwarded to a minion.
func minionRequestHeader(in http.Header) http.Header {
	out := in.Clone()
	removeHopByHop(out)
	for _, name := range reservedHeaders {
		out.Del(name)
	}
	if _, ok := out["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own User-Agent.
		out.Set("User-Agent", "")
	}
	return out
}

// removeHopByHop deletes the hop-by-hop headers, including those that the
// Connection header lists.
func removeHopByHop(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// copyResponseHeader copies the header of a minion's response, without the headers
// that are not forwarded to the caller.
func copyResponseHeader(dst, src http.Header) {
	h := src.Clone()
	removeHopByHop(h)
	for _, name := range reservedHeaders {
		h.Del(name)
	}
	for name, values := range h {
		dst[name] = values
	}
}

// announceTrailers lists the names of the trailers in the Trailer header.
func announceTrailers(dst, trailer http.Header) {
	for name := range trailer {
		dst.Add("Trailer", name)
	}
}

// copyTrailers adds the trailers after the body has been written.
func copyTrailers(dst, trailer http.Header) {
	for name, values := range trailer {
		for _, v := range values {
			dst.Add(name, v)
		}
	}
}
