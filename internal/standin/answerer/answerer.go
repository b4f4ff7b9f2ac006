// Package answerer is a stand-in for a minion: it serves requests in a fixed number
// of slots and counts requests, connections and violations of their limits.
//
// Query parameters of a request control the response: work=50ms occupies the
// slot for that time, bytes=N adds N bytes of padding to the body (at most
// 64 MiB), cut=N aborts the connection after N bytes of the body, and status=N
// sets the status code.
//
//	a := answerer.New(answerer.Config{Name: "m1", Slots: 8, Connections: 64})
//	server := &http.Server{Handler: a, ConnState: a.ConnState}
package answerer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Config describes a minion.
type Config struct {
	Name string
	// Slots limits the concurrent requests; further ones are refused.
	Slots int
	// Connections limits the open connections; further ones are only counted.
	Connections int
}

// Counts holds what a minion has counted since its start.
type Counts struct {
	Name     string
	Requests int
	Rejected int
	// SlotsMax and ConnectionsMax are the highest numbers in use at the same time.
	SlotsMax       int
	ConnectionsMax int
	// SlotsExceeded counts requests that arrived when all slots were in use,
	// ConnectionsExceeded connections that were opened beyond their limit.
	SlotsExceeded       int
	ConnectionsExceeded int
	// Executions counts executed requests by idempotency key.
	Executions map[string]int
	// LastAt is when the latest request arrived.
	LastAt time.Time
}

// Answer is the body of a successful response.
type Answer struct {
	Minion    string
	RequestID string
	Key       string
	Path      string
	// Digest is the SHA-256 digest of the request body, in hexadecimal.
	Digest  string
	Padding string `json:",omitempty"`
}

// Answerer is a stand-in for one minion.
type Answerer struct {
	cfg Config
	mux *http.ServeMux

	mu              sync.Mutex
	counts          Counts
	slotsUsed       int
	openConnections int
}

// New returns a minion whose counts are zero.
func New(cfg Config) *Answerer {
	a := &Answerer{cfg: cfg, mux: http.NewServeMux(), counts: Counts{Name: cfg.Name, Executions: map[string]int{}}}
	a.mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.Counts()) })
	a.mux.HandleFunc("/", a.serve)
	return a
}

// ServeHTTP serves requests, and the counts under /admin/counts.
func (a *Answerer) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// ConnState counts connections. It must be set as ConnState of the http.Server.
func (a *Answerer) ConnState(_ net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s {
	case http.StateNew:
		a.openConnections++
		a.counts.ConnectionsMax = max(a.counts.ConnectionsMax, a.openConnections)
		if a.openConnections > a.cfg.Connections {
			a.counts.ConnectionsExceeded++
		}
	case http.StateClosed, http.StateHijacked:
		a.openConnections--
	}
}

// Counts returns a copy of the counts.
func (a *Answerer) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.counts
	c.Executions = maps.Clone(c.Executions)
	return c
}

// acquireSlot counts a request and occupies a slot for it. It returns false if
// all slots are in use.
func (a *Answerer) acquireSlot(key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Requests++
	a.counts.LastAt = time.Now()
	if a.slotsUsed >= a.cfg.Slots {
		a.counts.SlotsExceeded++
		a.counts.Rejected++
		return false
	}
	a.slotsUsed++
	a.counts.SlotsMax = max(a.counts.SlotsMax, a.slotsUsed)
	if key != "" {
		a.counts.Executions[key]++
	}
	return true
}

func (a *Answerer) releaseSlot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slotsUsed--
}

// serve answers a request with a description of it, or with 503 if no slot is free.
func (a *Answerer) serve(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	if !a.acquireSlot(key) {
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	defer a.releaseSlot()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "request cut", http.StatusBadRequest)
		return
	}
	q := r.URL.Query()
	if work, err := time.ParseDuration(q.Get("work")); err == nil {
		time.Sleep(work)
	}
	digest := sha256.Sum256(body)
	size, _ := strconv.Atoi(q.Get("bytes"))
	answer := Answer{
		Minion: a.cfg.Name, RequestID: r.Header.Get("Daisyhead-Request-Id"), Key: key, Path: r.URL.Path,
		Digest: hex.EncodeToString(digest[:]), Padding: strings.Repeat("x", min(max(size, 0), 64<<20)),
	}
	a.writeAnswer(w, r, answer)
}

// writeAnswer writes the response as the query parameters ask for it.
func (a *Answerer) writeAnswer(w http.ResponseWriter, r *http.Request, answer Answer) {
	q := r.URL.Query()
	data, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set("Daisyhead-Request-Id", answer.RequestID)
	if status, err := strconv.Atoi(q.Get("status")); err == nil && status >= 200 && status < 600 {
		w.WriteHeader(status)
	}
	if cut, err := strconv.Atoi(q.Get("cut")); err == nil && cut < len(data) {
		_, _ = w.Write(data[:max(cut, 0)])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
