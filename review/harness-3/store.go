package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// appendTime is how long the store takes for one append.
const appendTime = 4 * time.Millisecond

// newestPageItems is the largest number of records on a page of the newest records.
const newestPageItems = 500

// rememberedAppends is how many appends of a producer get their first response again.
const rememberedAppends = 5

// store is a stand-in for the platform's store: a log with one partition for each topic.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
}

// topic is one partition.
type topic struct {
	records [][]byte
	// epoch, sequence and started are those of the only producer.
	epoch, sequence uint64
	started         bool
	// answers are the responses to the latest appends of the producer, by sequence number.
	answers map[uint64]string
	// appended is closed and replaced whenever records are added.
	appended chan struct{}
	// appending is held during an append.
	appending sync.Mutex
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

// topic returns a topic, which is created on first use. The caller holds the lock.
func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{appended: make(chan struct{}), answers: map[uint64]string{}}
		s.topics[name] = t
	}
	return t
}

// put writes a record as the operator or a minion does. A nil value drops the key.
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

func (t *topic) add(records [][]byte) {
	t.records = append(t.records, records...)
	close(t.appended)
	t.appended = make(chan struct{})
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

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	s.mu.Unlock()
	t.appending.Lock()
	defer t.appending.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		w.WriteHeader(http.StatusPreconditionFailed)
		fmt.Fprintf(w, `{"end":%d}`, len(t.records))
		return
	}
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseUint(q.Get("seq"), 10, 64)
	isProducer := q.Get("producer") != ""
	if isProducer {
		switch {
		case t.started && epoch < t.epoch:
			w.WriteHeader(http.StatusConflict)
			fmt.Fprint(w, `{"reason":"fenced"}`)
			return
		case t.started && epoch == t.epoch && t.answers[sequence] != "":
			fmt.Fprint(w, t.answers[sequence])
			return
		case t.started && epoch == t.epoch && sequence != t.sequence+1:
			w.WriteHeader(http.StatusConflict)
			fmt.Fprintf(w, `{"reason":"seq","seq":%d}`, t.sequence+1)
			return
		}
		if !t.started || epoch > t.epoch {
			t.answers = map[uint64]string{}
		}
		t.epoch, t.sequence, t.started = epoch, sequence, true
	}
	var records [][]byte
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	offset := len(t.records)
	t.add(records)
	answer := fmt.Sprintf(`{"offset":%d,"end":%d}`, offset, len(t.records))
	if isProducer {
		t.answers[sequence] = answer
		delete(t.answers, sequence-rememberedAppends)
	}
	fmt.Fprint(w, answer)
}

// read returns the records from an offset on, after waiting for the first one.
func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, _ := strconv.Atoi(q.Get("max_kb"))
	if maxKB <= 0 {
		maxKB = 1024
	}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	appended, length := t.appended, len(t.records)
	s.mu.Unlock()
	if from >= length {
		select {
		case <-appended:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, record := range t.records[min(from, len(t.records)):] {
		if len(b) > 16 && len(b)+len(record) > maxKB<<10 {
			break
		}
		b = binary.BigEndian.AppendUint32(b, uint32(len(record)))
		b = append(b, record...)
	}
	_, _ = w.Write(b)
}

// newest answers with the newest record of each key, in the order of the keys.
func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	offsets := map[string]int{}
	for offset, record := range t.records {
		n := 1 + int(record[0])
		if offsets[string(record[1:n])] = offset; n == len(record) {
			delete(offsets, string(record[1:n]))
		}
	}
	items, more := []map[string]any{}, false
	for _, key := range slices.Sorted(maps.Keys(offsets)) {
		if key <= r.URL.Query().Get("start_after") {
			continue
		}
		if more = len(items) == newestPageItems; more {
			break
		}
		offset := offsets[key]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.records[offset][1+len(key):]), "offset": offset})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": more, "end": len(t.records)})
}
