// Package logkeeper is a stand-in for the platform's log service. It has streams
// with offsets, long polling, limited retention and faults that can be switched on.
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

// MaxRecordBytes limits the size of a record.
const MaxRecordBytes = 1 << 20

// maxPollWait limits the duration of a long poll.
const maxPollWait = 30 * time.Second

// Config limits which records are kept.
type Config struct {
	// Retention is how long records are kept; 0 keeps them forever.
	Retention time.Duration
	// MaxRecords is the maximum number of records per stream; 0 means no limit.
	MaxRecords int
}

// Faults are faults of the log service that can be switched on.
type Faults struct {
	// Down answers every request with 503.
	Down bool
	// Slow delays every request.
	Slow time.Duration
	// LoseAnswers is the number of appends that take effect but are answered with
	// an error, as if the response had been lost.
	LoseAnswers int
	// Duplicate is the number of appends whose record is written twice.
	Duplicate int
}

// Keeper keeps the streams in memory and serves them over HTTP.
type Keeper struct {
	cfg     Config
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	appends int
	mux     *http.ServeMux
}

// stream is a sequence of records with consecutive offsets.
type stream struct {
	// first is the offset of the oldest record.
	first   uint64
	records []record
	// changed is closed and replaced by each append.
	changed chan struct{}
}

// record is the content of a record and when it was appended.
type record struct {
	data []byte
	at   time.Time
}

// New returns a log service without records.
func New(cfg Config) *Keeper {
	k := &Keeper{cfg: cfg, streams: map[string]*stream{}, mux: http.NewServeMux()}
	k.mux.HandleFunc("POST /v1/streams/{name}/records", k.serveAppend)
	k.mux.HandleFunc("GET /v1/streams/{name}/records", k.serveRead)
	k.mux.HandleFunc("POST /admin/faults", k.serveFaults)
	return k
}

// ServeHTTP serves the log's API and its fault injection API.
func (k *Keeper) ServeHTTP(w http.ResponseWriter, r *http.Request) { k.mux.ServeHTTP(w, r) }

// SetFaults replaces the active faults.
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

// injectFaults applies the faults that delay or fail a request. It reports
// whether it has answered the request with an error.
func (k *Keeper) injectFaults(w http.ResponseWriter, r *http.Request) bool {
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

// serveAppend appends the body of the request as one record.
func (k *Keeper) serveAppend(w http.ResponseWriter, r *http.Request) {
	if k.injectFaults(w, r) {
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

// append adds a record and wakes the long polls on the stream. replyLost reports
// whether the caller must not be told that the append took effect.
func (k *Keeper) append(name string, data []byte) (offset uint64, replyLost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stream(name)
	offset = s.nextOffset()
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

// stream returns the named stream, which it creates if needed, without expired
// records. The caller holds the lock.
func (k *Keeper) stream(name string) *stream {
	s, ok := k.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		k.streams[name] = s
	}
	s.dropExpired(k.cfg)
	return s
}

func (s *stream) nextOffset() uint64 { return s.first + uint64(len(s.records)) }

// dropExpired removes the records that cfg no longer retains.
func (s *stream) dropExpired(cfg Config) {
	dropCount := 0
	for dropCount < len(s.records) && cfg.Retention > 0 && time.Since(s.records[dropCount].at) > cfg.Retention {
		dropCount++
	}
	if cfg.MaxRecords > 0 {
		dropCount = max(dropCount, len(s.records)-cfg.MaxRecords)
	}
	s.first += uint64(dropCount)
	s.records = s.records[dropCount:]
}

// serveRead answers with the records from an offset on. If there are none, it waits
// for an append for the time that the request sets, maxPollWait at most, and then
// answers with an empty page.
func (k *Keeper) serveRead(w http.ResponseWriter, r *http.Request) {
	if k.injectFaults(w, r) {
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
	timeout := time.NewTimer(min(wait, maxPollWait))
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

// read returns up to limit records from an offset on, or all if limit is 0, and a
// channel that is closed by the next append to the stream.
func (k *Keeper) read(name string, from uint64, limit int) (appender.Page, chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stream(name)
	page := appender.Page{First: s.first, Next: s.nextOffset()}
	for o := max(from, s.first); o < s.nextOffset() && (limit <= 0 || len(page.Records) < limit); o++ {
		page.Records = append(page.Records, appender.Record{Offset: o, Data: s.records[o-s.first].data})
	}
	return page, s.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
