package gatekeeper

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// bodyCostFactor is the memory of a request in sizes of its body: the body, its copy in the
	// decoder, the decoded value and its record.
	bodyCostFactor = 4
	// minBodyCost is the least memory of a request with a body.
	minBodyCost = 4 << 10
	// smallBody is the largest body that counts as small. Small bodies have a quarter of the
	// memory to themselves, so that large ones that arrive slowly don't keep them out.
	smallBody         = 16 << 10
	smallShareDivisor = 4
	// bodyWait is how long a request waits for memory. It is short beside the 3 s that callers
	// usually wait for an answer.
	bodyWait = 500 * time.Millisecond
	// discardTimeout limits the time in which the rest of a body is received that was not read.
	discardTimeout = 500 * time.Millisecond
	// retryAfterS is the Retry-After of requests without memory for their body.
	retryAfterS = "1"
)

// bodyPool limits the memory of the requests with a body that are served at a time.
type bodyPool struct {
	// bodyBytes is the largest size of a body.
	bodyBytes                int64
	small, large             *semaphore.Weighted
	smallMemory, largeMemory int64
}

// newBodyPool returns a pool, nil if there is no limit.
func newBodyPool(l Limits) *bodyPool {
	if l.BodyMemory <= 0 {
		return nil
	}
	small := l.BodyMemory / smallShareDivisor
	large := l.BodyMemory - small
	return &bodyPool{
		bodyBytes: l.BodyBytes, small: semaphore.NewWeighted(small), large: semaphore.NewWeighted(large),
		smallMemory: small, largeMemory: large,
	}
}

// acquire reserves memory for a body of the given size, -1 if it is unknown, and waits for that
// for a short time. release must be called once the request is served.
func (p *bodyPool) acquire(ctx context.Context, size int64) (release func(), ok bool) {
	if size < 0 {
		size = p.bodyBytes
	}
	pool, memory := p.large, p.largeMemory
	if size <= smallBody {
		pool, memory = p.small, p.smallMemory
	}
	// A single request is always served, also if it needs more than the whole pool.
	cost := min(max(size*bodyCostFactor, minBodyCost), memory)
	ctx, cancel := context.WithTimeout(ctx, bodyWait)
	defer cancel()
	if pool.Acquire(ctx, cost) != nil {
		return nil, false
	}
	return func() { pool.Release(cost) }, true
}

// handler serves requests whose connection has not been closed in the meantime and whose body
// is within the limits. It refuses the others before anything of the body was read.
func (g *Gatekeeper) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, _ := r.Context().Value(connKey{}).(*conn); c != nil && g.closed(c) {
			// The client gets no response, so the request must have no effect.
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		g.serveBody(h, w, r)
	})
}

// serveBody serves a request with a body.
func (g *Gatekeeper) serveBody(h http.Handler, w http.ResponseWriter, r *http.Request) {
	if g.limits.BodyBytes > 0 && r.ContentLength > g.limits.BodyBytes {
		g.count(reasonBodyTooLong)
		refuseBody(w, http.StatusRequestEntityTooLarge, "the body is too large")
		return
	}
	if g.bodies != nil {
		release, ok := g.bodies.acquire(r.Context(), r.ContentLength)
		if !ok {
			g.count(reasonBodyMemory)
			w.Header().Set("Retry-After", retryAfterS)
			refuseBody(w, http.StatusServiceUnavailable, "too many bodies are being received")
			return
		}
		defer release()
	}
	control := http.NewResponseController(w)
	if g.limits.BodyTimeout > 0 {
		// Some kinds of response writers have no deadlines. They are not used on connections.
		_ = control.SetReadDeadline(time.Now().Add(g.limits.BodyTimeout))
	}
	body := &timedBody{ReadCloser: r.Body, control: control, limited: g.limits.BodyTimeout > 0}
	r.Body = body
	if g.limits.BodyBytes > 0 {
		r.Body = http.MaxBytesReader(w, body, g.limits.BodyBytes)
	}
	defer func() {
		if !body.complete && body.limited {
			_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
		}
	}()
	h.ServeHTTP(w, r)
}

// refuseBody refuses a request without reading its body, and closes the connection.
func refuseBody(w http.ResponseWriter, status int, reason string) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(map[string]string{"error": reason})
}

// timedBody is a body that must be received before a deadline. The deadline is removed at its
// end, since the server would take it for the end of the connection.
type timedBody struct {
	io.ReadCloser
	control  *http.ResponseController
	limited  bool
	complete bool
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err == io.EOF && !b.complete {
		b.complete = true
		if b.limited {
			_ = b.control.SetReadDeadline(time.Time{})
		}
	}
	return n, err
}
