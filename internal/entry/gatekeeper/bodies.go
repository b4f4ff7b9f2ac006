package gatekeeper

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
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
	// receivingDivisor is the part of the connections whose small, and whose large, bodies may be
	// received at a time, minReceiving their least number.
	receivingDivisor = 4
	minReceiving     = 8
	// unlimitedReceiving is the number of bodies without a limit of connections.
	unlimitedReceiving = 1 << 20
	// bodyWait is how long a request waits for memory. It is short beside the 3 s that callers
	// usually wait for an answer.
	bodyWait = 500 * time.Millisecond
	// discardTimeout limits the time in which the rest of a body is received that was not read.
	discardTimeout = 500 * time.Millisecond
	// retryAfterS is the Retry-After of requests without memory for their body.
	retryAfterS = "1"
)

// bodyPool limits the memory of the requests with a body that are served at a time, and the
// number of bodies that are received at a time.
type bodyPool struct {
	// bodyBytes is the largest size of a body.
	bodyBytes    int64
	small, large bodyClass
}

// bodyClass is the part of a bodyPool for small or for large bodies.
type bodyClass struct {
	memory *semaphore.Weighted
	size   int64
	// receiving has an element for each body that is received or waits for memory. Without a
	// limit of these, slow bodies take all connections.
	receiving chan struct{}
	// timeout limits the time in which a body is received.
	timeout time.Duration
	// reserved is the memory that is reserved at present.
	reserved *atomic.Int64
}

// newBodyPool returns a pool, nil if there is no limit.
func newBodyPool(l Limits) *bodyPool {
	if l.BodyMemory <= 0 {
		return nil
	}
	receiving := max(l.Connections/receivingDivisor, minReceiving)
	if l.Connections == 0 {
		receiving = unlimitedReceiving
	}
	class := func(size int64, timeout time.Duration) bodyClass {
		return bodyClass{memory: semaphore.NewWeighted(size), size: size, timeout: timeout, receiving: make(chan struct{}, receiving), reserved: new(atomic.Int64)}
	}
	smallTimeout := l.BodyTimeout
	if l.HeadTimeout > 0 {
		// A small body is no larger than a head, and gets as much time.
		smallTimeout = min(smallTimeout, l.HeadTimeout)
	}
	small := l.BodyMemory / smallShareDivisor
	return &bodyPool{bodyBytes: l.BodyBytes, small: class(small, smallTimeout), large: class(l.BodyMemory-small, l.BodyTimeout)}
}

// classOf returns the class of a body of the given size, -1 if it is unknown, and its size at
// most.
func (p *bodyPool) classOf(size int64) (c *bodyClass, most int64) {
	switch {
	case size < 0:
		return &p.large, p.bodyBytes
	case size <= smallBody:
		return &p.small, size
	}
	return &p.large, size
}

// acquire reserves a place among the bodies that are received, unless the body has arrived, and
// memory for a body of the given size, for which it waits for a short time. received must be called
// once the body is received, release once the request is served.
func (c *bodyClass) acquire(ctx context.Context, size int64, arrived func() bool) (received, release func(), ok bool) {
	received = func() {}
	select {
	case c.receiving <- struct{}{}:
		received = sync.OnceFunc(func() { <-c.receiving })
	default:
		if !arrived() {
			return nil, nil, false
		}
	}
	// A single request is always served, also if it needs more than the whole pool.
	cost := min(max(size*bodyCostFactor, minBodyCost), c.size)
	ctx, cancel := context.WithTimeout(ctx, bodyWait)
	defer cancel()
	if c.memory.Acquire(ctx, cost) != nil {
		received()
		return nil, nil, false
	}
	c.reserved.Add(cost)
	return received, func() {
		c.reserved.Add(-cost)
		c.memory.Release(cost)
	}, true
}

// handler serves requests whose connection has not been closed in the meantime and whose body
// is within the limits. It refuses the others before anything of the body was read.
func (g *Gatekeeper) handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r); c != nil {
			if g.closed(c) {
				// The client gets no response, so the request must have no effect.
				panic(http.ErrAbortHandler)
			}
			c.bodySize = r.ContentLength
		}
		if g.waiting.Load() {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody || g.limits.Streams != nil && g.limits.Streams(r) {
			h.ServeHTTP(w, r)
			return
		}
		g.serveBody(h, w, r)
	})
}

// serveBody serves a request with a body.
func (g *Gatekeeper) serveBody(h http.Handler, w http.ResponseWriter, r *http.Request) {
	if g.limits.BodyBytes > 0 && r.ContentLength > g.limits.BodyBytes {
		g.refuseBody(w, r, http.StatusRequestEntityTooLarge, reasonBodyTooLong, "the body is too large")
		return
	}
	c := connOf(r)
	body := &timedBody{ReadCloser: r.Body, control: http.NewResponseController(w), timeout: g.limits.BodyTimeout}
	if g.bodies != nil {
		class, size := g.bodies.classOf(r.ContentLength)
		arrived := func() bool { return class == &g.bodies.small && c != nil && c.hasReceived(size) }
		received, release, ok := class.acquire(r.Context(), size, arrived)
		if !ok {
			w.Header().Set("Retry-After", retryAfterS)
			g.refuseBody(w, r, http.StatusServiceUnavailable, reasonBodyMemory, "too many bodies are being received")
			return
		}
		defer release()
		defer received()
		body.received, body.timeout = received, class.timeout
	}
	body.start()
	defer func() {
		body.stop()
		if c != nil && !body.read {
			// The server receives the body that the handler did not need before it responds.
			g.move(c, phaseIdle)
		}
	}()
	r.Body = body
	if g.limits.BodyBytes > 0 {
		r.Body = http.MaxBytesReader(w, body, g.limits.BodyBytes)
	}
	h.ServeHTTP(w, r)
}

// connOf returns the connection of a request, nil if it is not one of a gatekeeper.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// refuseBody refuses a request without reading its body, and closes the connection. Once the
// response is sent, the connection is one of those that are closed first.
func (g *Gatekeeper) refuseBody(w http.ResponseWriter, r *http.Request, status int, reason, text string) {
	g.count(reason)
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Type", "application/json")
	// The error can't occur, since the value is a map of strings.
	body, _ := json.Marshal(map[string]string{"error": text})
	control := http.NewResponseController(w)
	c := connOf(r)
	if c != nil && g.beginLinger(c) {
		if outer, _, err := control.Hijack(); err == nil {
			resp := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: w.Header(), Body: io.NopCloser(bytes.NewReader(body)), ContentLength: int64(len(body))}
			var encoded bytes.Buffer
			_ = resp.Write(&encoded)
			g.respondAndLinger(c, outer, encoded.String())
			return
		}
		g.cancelLinger(c)
	}
	_ = control.SetReadDeadline(time.Now().Add(discardTimeout))
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_, _ = w.Write(body)
	_ = control.Flush()
	if c != nil {
		g.move(c, phaseIdle)
	}
}

// timedBody is a body that must be received before a deadline. The deadline is removed at its
// end, since the server would take it for the end of the connection.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
	// timeout limits the time in which the body is received, 0 means no limit.
	timeout time.Duration
	// received is called at the end of the body, if it is set.
	received func()
	// read is set once the handler reads the body, complete at its end.
	read, complete bool
}

// start sets the deadline.
func (b *timedBody) start() {
	if b.timeout > 0 {
		// Some kinds of response writers have no deadlines. They are not used on connections.
		_ = b.control.SetReadDeadline(time.Now().Add(b.timeout))
	}
}

// stop limits the time in which the server receives the rest of a body that was not read.
func (b *timedBody) stop() {
	if b.timeout > 0 && !b.complete {
		_ = b.control.SetReadDeadline(time.Now().Add(discardTimeout))
	}
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (n int, err error) {
	b.read = true
	n, err = b.ReadCloser.Read(p)
	if err == io.EOF && !b.complete {
		b.complete = true
		if b.timeout > 0 {
			_ = b.control.SetReadDeadline(time.Time{})
		}
		if b.received != nil {
			b.received()
		}
	}
	return n, err
}
