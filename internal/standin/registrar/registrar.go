// Package registrar is a stand-in for the platform's list of instances. Changes
// of the list become visible to readers after a fixed delay.
//
//	r := registrar.New(2 * time.Second)
//	r.Set([]lister.Instance{{Name: "entry-1", PeerAddress: "127.0.0.1:7301", State: lister.StateLive}})
package registrar

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"daisyhead/internal/platform/lister"
)

// Registrar serves the list. It keeps all versions of the list, because readers
// see an older one until lag has passed.
type Registrar struct {
	lag time.Duration
	mux *http.ServeMux

	mu       sync.Mutex
	versions []listVersion
	down     bool
}

// listVersion is a list and when it was set.
type listVersion struct {
	at        time.Time
	instances []lister.Instance
}

// New returns an empty list whose changes become visible after lag.
func New(lag time.Duration) *Registrar {
	r := &Registrar{lag: lag, mux: http.NewServeMux()}
	r.mux.HandleFunc("GET /v1/instances", r.serveList)
	r.mux.HandleFunc("POST /admin/instances", r.serveSet)
	return r
}

// ServeHTTP serves the list and the requests that replace it.
func (r *Registrar) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.mux.ServeHTTP(w, req) }

// Set replaces the list. Readers see the change after lag has passed, but the first
// list at once.
func (r *Registrar) Set(instances []lister.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, listVersion{time.Now(), instances})
}

// SetDown makes the list unavailable or available again.
func (r *Registrar) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

func (r *Registrar) serveSet(w http.ResponseWriter, req *http.Request) {
	var instances []lister.Instance
	if err := json.NewDecoder(req.Body).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.Set(instances)
}

// serveList answers with the newest list that was set at least lag ago, or else with
// the first one.
func (r *Registrar) serveList(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	list := lister.List{AgeMS: r.lag.Milliseconds()}
	for i, v := range r.versions {
		if i == 0 || time.Since(v.at) >= r.lag {
			list.Instances = v.instances
		}
	}
	_ = json.NewEncoder(w).Encode(list)
}
