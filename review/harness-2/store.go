package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store, which the settings announce.
const (
	recordBytes  = 262144
	requestBytes = 2097152
	appendTime   = 4 * time.Millisecond
	pageItems    = 500
	pageBytes    = 1 << 20
)

// store is a stand-in for the platform's metadata store: topics with one partition each.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

// topic is a log of records; the newest record of each key is kept as well.
type topic struct {
	// appending makes the partition process its appends one at a time.
	appending sync.Mutex
	records   [][]byte
	producers map[string]*producer
	// grown is closed and replaced whenever records are added.
	grown chan struct{}
}

// producer holds the epoch of a producer and its latest appends.
type producer struct {
	epoch  uint64
	seq    uint64
	begun  bool
	recent map[uint64][]byte
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

// topic returns a topic and creates it if needed. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{producers: map[string]*producer{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(records [][]byte) {
	t.records = append(t.records, records...)
	close(t.grown)
	t.grown = make(chan struct{})
}

// put writes a record of the operator or of a minion; a nil value deletes the key.
func (s *store) put(name, key string, value any) {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		record = append(record, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([][]byte{record})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-newest":
		s.newest(w, r)
	default:
		http.NotFound(w, r)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// split returns the records of an append, and false if one of them is malformed or too large.
func split(body []byte) (records [][]byte, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || n > len(body)-4 {
			return nil, false
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, requestBytes+1))
	if err != nil {
		return
	}
	q := r.URL.Query()
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		answer(w, http.StatusForbidden, map[string]string{})
		return
	}
	s.mu.Lock()
	t := s.topic(name)
	s.mu.Unlock()
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	records, ok := split(body)
	if !ok || len(body) > requestBytes {
		answer(w, http.StatusRequestEntityTooLarge, map[string]string{"reason": "size"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		answer(w, http.StatusPreconditionFailed, map[string]int{"end": len(t.records)})
		return
	}
	var p *producer
	seq := uint64(0)
	if id := q.Get("producer"); id != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseUint(q.Get("seq"), 10, 64)
		if p = t.producers[id]; p == nil {
			p = &producer{recent: map[uint64][]byte{}}
			t.producers[id] = p
		}
		switch {
		case epoch < p.epoch:
			answer(w, http.StatusConflict, map[string]string{"reason": "fenced"})
			return
		case epoch > p.epoch:
			*p = producer{epoch: epoch, recent: map[uint64][]byte{}}
		case p.recent[seq] != nil:
			w.WriteHeader(http.StatusOK)
			_, _ = w.Write(p.recent[seq])
			return
		case p.begun && seq != p.seq+1:
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.seq + 1})
			return
		}
	}
	first := len(t.records)
	if len(records) > 0 {
		t.add(records)
	}
	reply := []byte(fmt.Sprintf(`{"offset":%d,"end":%d}`, first, len(t.records)))
	if p != nil && len(records) > 0 {
		p.begun, p.seq = true, seq
		p.recent[seq] = reply
		delete(p.recent, seq-5)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(reply)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for waiting := wait > 0; waiting; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		grown, length := t.grown, len(t.records)
		s.mu.Unlock()
		if from < length {
			break
		}
		select {
		case <-grown:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	records := t.records
	s.mu.Unlock()
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for i := from; i < len(records) && (i == from || len(b)+len(records[i]) <= maxKB<<10); i++ {
		b = binary.BigEndian.AppendUint32(b, uint32(len(records[i])))
		b = append(b, records[i]...)
	}
	_, _ = w.Write(b)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	records := t.records
	s.mu.Unlock()
	offsets := map[string]int{}
	for offset, record := range records {
		n := 1 + int(record[0])
		if offsets[string(record[1:n])] = offset; n == len(record) {
			delete(offsets, string(record[1:n]))
		}
	}
	keys := make([]string, 0, len(offsets))
	for key := range offsets {
		if key > q.Get("start_after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, more, size := []map[string]any{}, false, 0
	for _, key := range keys {
		value := records[offsets[key]][1+len(key):]
		if len(items) == pageItems || len(items) > 0 && size+len(value) > pageBytes {
			more = true
			break
		}
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offsets[key]})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(records)})
}
