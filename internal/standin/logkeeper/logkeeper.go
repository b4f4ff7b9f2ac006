// Package logkeeper is a stand-in of the platform's log service: streams with
// offsets, long polls, limited retention and faults that can be switched.
//
//	k := logkeeper.New(logkeeper.Config{Retention: time.Hour})
//	k.SetFaults(logkeeper.Faults{Down: true})
//	http.ListenAndServe(address, k)
package logkeeper

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"daisyhead/internal/platform/appender"
)

// MaxRecordBytes bounds one record.
const MaxRecordBytes = 1 << 20

// maxWait bounds a long poll.
const maxWait = 30 * time.Second

// Config sets the retention; 0 keeps records for ever.
type Config struct {
	Retention time.Duration
	// MaxRecords bounds each stream; 0 is no bound.
	MaxRecords int
}

// Faults are troubles of the log that can be switched on.
type Faults struct {
	// Down answers every request with 503.
	Down bool
	// Slow delays every request.
	Slow time.Duration
	// LoseAnswers lets so many appends take effect without an answer.
	LoseAnswers int
	// Duplicate writes so many appends twice.
	Duplicate int
}

// Keeper keeps the streams.
type Keeper struct {
	cfg     Config
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	appends int
	mux     *http.ServeMux
}

type stream struct {
	first   uint64
	records []record
	changed chan struct{}
}

type record struct {
	data []byte
	at   time.Time
}

// New returns an empty keeper.
func New(cfg Config) *Keeper {
	k := &Keeper{cfg: cfg, streams: map[string]*stream{}, mux: http.NewServeMux()}
	k.mux.HandleFunc("POST /v1/streams/{name}/records", k.serveAppend)
	k.mux.HandleFunc("GET /v1/streams/{name}/records", k.serveRead)
	k.mux.HandleFunc("POST /admin/faults", k.serveFaults)
	return k
}

// ServeHTTP serves the log's requests.
func (k *Keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) { k.mux.ServeHTTP(w, r) }

// SetFaults switches faults.
func (k *Keeper) SetFaults(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Appends returns how many appends took effect.
func (k *Keeper) Appends() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.appends
}

func (k *Keeper) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k.SetFaults(f)
}

func (k *Keeper) currentFaults() Faults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}

// obstruct applies the faults that stop or delay a request.
func (k *Keeper) obstruct(w http.ResponseWriter, r *http.Request) bool {
	f := k.currentFaults()
	if f.Slow > 0 {
		select {
		case <-time.After(f.Slow):
		case <-r.Context().Done():
		}
	}
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
	}
	return f.Down
}

func (k *Keeper) serveAppend(w http.ResponseWriter, r *http.Request) {
	if k.obstruct(w, r) {
		return
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, MaxRecordBytes+1))
	if err != nil || len(data) > MaxRecordBytes {
		http.Error(w, "record too large or cut", http.StatusBadRequest)
		return
	}
	offset, lost := k.append(r.PathValue("name"), data)
	if lost {
		http.Error(w, "answer lost", http.StatusGatewayTimeout)
		return
	}
	writeJSON(w, appender.AppendReply{Offset: offset})
}

func (k *Keeper) append(name string, data []byte) (offset uint64, lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stream(name)
	offset = s.next()
	s.records = append(s.records, record{data, time.Now()})
	if k.faults.Duplicate > 0 {
		k.faults.Duplicate--
		s.records = append(s.records, record{data, time.Now()})
	}
	k.appends++
	close(s.changed)
	s.changed = make(chan struct{})
	if k.faults.LoseAnswers > 0 {
		k.faults.LoseAnswers--
		return offset, true
	}
	return offset, false
}

func (k *Keeper) stream(name string) *stream {
	s, ok := k.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		k.streams[name] = s
	}
	s.expire(k.cfg)
	return s
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

func (s *stream) expire(cfg Config) {
	drop := 0
	for drop < len(s.records) && cfg.Retention > 0 && time.Since(s.records[drop].at) > cfg.Retention {
		drop++
	}
	if cfg.MaxRecords > 0 {
		drop = max(drop, len(s.records)-cfg.MaxRecords)
	}
	s.first += uint64(drop)
	s.records = s.records[drop:]
}

func (k *Keeper) serveRead(w http.ResponseWriter, r *http.Request) {
	if k.obstruct(w, r) {
		return
	}
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	limit, _ := strconv.Atoi(q.Get("limit"))
	wait, _ := time.ParseDuration(q.Get("wait"))
	timeout := time.NewTimer(min(wait, maxWait))
	defer timeout.Stop()
	for {
		page, changed := k.read(r.PathValue("name"), from, limit)
		if len(page.Records) > 0 || page.First > from || wait <= 0 {
			writeJSON(w, page)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
		if k.currentFaults().Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
	}
}

func (k *Keeper) read(name string, from uint64, limit int) (appender.Page, chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stream(name)
	page := appender.Page{First: s.first, Next: s.next()}
	for o := max(from, s.first); o < s.next() && (limit <= 0 || len(page.Records) < limit); o++ {
		page.Records = append(page.Records, appender.Record{Offset: o, Data: s.records[o-s.first].data})
	}
	return page, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
