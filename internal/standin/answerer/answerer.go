// Package answerer is a stand-in of a minion: it answers requests in a fixed
// number of slots and counts what it was given.
//
// A request may ask for behaviour by query: work=50ms holds a slot, bytes=N
// sends a long body, cut=N breaks the connection after N bytes, status=N.
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

// Config describes the minion.
type Config struct {
	Name        string
	Slots       int
	Connections int
}

// Counts is what the minion saw.
type Counts struct {
	Name           string
	Requests       int
	Rejected       int
	SlotsMax       int
	ConnectionsMax int
	// SlotsExceeded counts requests beyond the slots, ConnectionsExceeded
	// connections beyond their limit.
	SlotsExceeded       int
	ConnectionsExceeded int
	// Executions counts the executions of each idempotency key.
	Executions map[string]int
	LastAt     time.Time
}

// Answer is the body of an ordinary answer.
type Answer struct {
	Minion    string
	RequestID string
	Key       string
	Path      string
	// Digest is the SHA-256 of the request's body.
	Digest  string
	Padding string `json:",omitempty"`
}

// Answerer is one minion.
type Answerer struct {
	cfg Config
	mux *http.ServeMux

	mu          sync.Mutex
	counts      Counts
	slots       int
	connections int
}

// New returns a minion that has seen nothing.
func New(cfg Config) *Answerer {
	a := &Answerer{cfg: cfg, mux: http.NewServeMux(), counts: Counts{Name: cfg.Name, Executions: map[string]int{}}}
	a.mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, a.Counts()) })
	a.mux.HandleFunc("/", a.serve)
	return a
}

// ServeHTTP serves requests.
func (a *Answerer) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// ConnState counts connections; it is set on the http.Server.
func (a *Answerer) ConnState(_ net.Conn, s http.ConnState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch s {
	case http.StateNew:
		a.connections++
		a.counts.ConnectionsMax = max(a.counts.ConnectionsMax, a.connections)
		if a.connections > a.cfg.Connections {
			a.counts.ConnectionsExceeded++
		}
	case http.StateClosed, http.StateHijacked:
		a.connections--
	}
}

// Counts returns what the minion saw so far.
func (a *Answerer) Counts() Counts {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.counts
	c.Executions = maps.Clone(c.Executions)
	return c
}

func (a *Answerer) enter(key string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Requests++
	a.counts.LastAt = time.Now()
	if a.slots >= a.cfg.Slots {
		a.counts.SlotsExceeded++
		a.counts.Rejected++
		return false
	}
	a.slots++
	a.counts.SlotsMax = max(a.counts.SlotsMax, a.slots)
	if key != "" {
		a.counts.Executions[key]++
	}
	return true
}

func (a *Answerer) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots--
}

func (a *Answerer) serve(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	if !a.enter(key) {
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	defer a.leave()
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
	a.answer(w, r, answer)
}

func (a *Answerer) answer(w http.ResponseWriter, r *http.Request, answer Answer) {
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
