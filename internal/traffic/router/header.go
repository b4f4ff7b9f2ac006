package router

import (
	"net/http"
	"strings"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are for daisyhead and not for minions.
var ownHeaders = []string{"Authorization", HeaderIdempotent, HeaderClass, HeaderTimeout, HeaderRequestID, HeaderOutcome, HeaderReplayed, HeaderMinion}

// outgoingHeader copies what a minion may see of a caller's header.
func outgoingHeader(in http.Header) http.Header {
	out := in.Clone()
	removeHop(out)
	for _, name := range ownHeaders {
		out.Del(name)
	}
	if _, ok := out["User-Agent"]; !ok {
		// An empty value keeps the transport from adding its own.
		out.Set("User-Agent", "")
	}
	return out
}

// removeHop deletes the hop-by-hop headers, also those that Connection names.
func removeHop(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// copyAnswerHeader copies what a caller may see of a minion's header.
func copyAnswerHeader(dst, src http.Header) {
	h := src.Clone()
	removeHop(h)
	for _, name := range ownHeaders {
		h.Del(name)
	}
	for name, values := range h {
		dst[name] = values
	}
}

func announceTrailers(dst, trailer http.Header) {
	for name := range trailer {
		dst.Add("Trailer", name)
	}
}

func copyTrailers(dst, trailer http.Header) {
	for name, values := range trailer {
		for _, v := range values {
			dst.Add(name, v)
		}
	}
}
