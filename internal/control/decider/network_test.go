package decider_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// network delivers HTTP requests in memory between named hosts and injects faults.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	// cut holds the pairs of hosts between which nothing is delivered.
	cut map[[2]string]bool
	// delay maps a request path to the time before the request is delivered.
	delay map[string]time.Duration
}

// transport is the http.RoundTripper of one host.
type transport struct {
	net  *network
	from string
}

// RoundTrip delivers a request after the path's delay. Over a cut connection it blocks
// until the sender gives up; if the cut begins before the response, only that is lost.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.net.mu.Lock()
	h, cut, delay := t.net.handlers[r.URL.Host], t.net.isCutLocked(t.from, r.URL.Host), t.net.delay[r.URL.Path]
	t.net.mu.Unlock()
	time.Sleep(time.Millisecond + delay)
	if h == nil || cut {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	// The request is delivered even if the sender has given up by now.
	in := httptest.NewRequestWithContext(context.WithoutCancel(r.Context()), r.Method, r.URL.String(), bytes.NewReader(body))
	done := make(chan *httptest.ResponseRecorder, 1)
	go func() {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, in)
		done <- w
	}()
	select {
	case w := <-done:
		if t.net.isCut(t.from, r.URL.Host) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		return w.Result(), nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// isCutLocked reports whether the connection between two hosts is cut. The caller
// must hold n.mu.
func (n *network) isCutLocked(a, b string) bool {
	return n.cut[[2]string{a, b}] || n.cut[[2]string{b, a}]
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isCutLocked(a, b)
}

func (n *network) listen(host string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[host] = h
}

func (n *network) setCut(cut bool, pairs ...[2]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range pairs {
		n.cut[p] = cut
	}
}

func (n *network) setDelay(path string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[path] = d
}
