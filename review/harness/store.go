package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	maxRecordBytes = 262144
	newestPage     = 500
	appendTime     = 4 * time.Millisecond
)

// store is a stand-in for the platform's store. Each topic has one partition and keeps all
// records.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// conditional is the machine that last appended under a condition.
	conditional string
	conditionMu sync.Mutex
}

type topic struct {
	records   [][]byte
	producers map[string]*producer
	// appended is closed and replaced at each append.
	appended chan struct{}
	// turn makes appends wait for each other.
	turn sync.Mutex
}

// producer is what the store remembers of a producer: its epoch, its last sequence number,
// and the answers to its last appends.
type producer struct {
	epoch, seq uint64
	answers    map[uint64]string
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.topics[name]
	if !ok {
		t = &topic{producers: map[string]*producer{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a keyed record as the operator or a minion does. A nil value deletes the key.
func (s *store) put(name, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	t := s.topic(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.add([][]byte{append(append([]byte{byte(len(key))}, key...), data...)})
}

// add appends records. The caller holds the store's lock.
func (t *topic) add(records [][]byte) {
	t.records = append(t.records, records...)
	close(t.appended)
	t.appended = make(chan struct{})
}

// lastConditional returns the machine that last wrote under a condition.
func (s *store) lastConditional() string {
	s.conditionMu.Lock()
	defer s.conditionMu.Unlock()
	return s.conditional
}

// handler returns the store as one machine reaches it.
func (s *store) handler(machine string, g *gate) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || !g.pass(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		status, answer := http.StatusNotFound, []byte("{}")
		switch r.URL.Path {
		case "/-/log-append":
			status, answer = s.append(machine, r, body)
		case "/-/log-read":
			status, answer = s.read(r)
		case "/-/log-newest":
			status, answer = s.newest(r)
		}
		if !g.pass(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = w.Write(answer)
	})
}

func (s *store) append(machine string, r *http.Request, body []byte) (int, []byte) {
	q := r.URL.Query()
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		return http.StatusForbidden, []byte("{}")
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > maxRecordBytes || n > len(body)-4 {
			return http.StatusRequestEntityTooLarge, []byte("{}")
		}
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	t := s.topic(name)
	t.turn.Lock()
	defer t.turn.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		return http.StatusPreconditionFailed, fmt.Appendf(nil, `{"end":%d}`, len(t.records))
	}
	answer := fmt.Sprintf(`{"offset":%d,"end":%d}`, len(t.records), len(t.records)+len(records))
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		seq, _ := strconv.ParseUint(q.Get("seq"), 10, 64)
		p := t.producers[name]
		switch {
		case p != nil && epoch < p.epoch:
			return http.StatusConflict, []byte(`{"reason":"fenced"}`)
		case p == nil || epoch > p.epoch:
			p = &producer{epoch: epoch, answers: map[uint64]string{}}
			t.producers[name] = p
		case p.answers[seq] != "":
			return http.StatusOK, []byte(p.answers[seq])
		case seq != p.seq+1:
			return http.StatusConflict, fmt.Appendf(nil, `{"reason":"seq","seq":%d}`, p.seq+1)
		}
		p.seq, p.answers[seq] = seq, answer
		if seq >= 5 {
			delete(p.answers, seq-5)
		}
		s.conditionMu.Lock()
		s.conditional = machine
		s.conditionMu.Unlock()
	}
	t.add(records)
	return http.StatusOK, []byte(answer)
}

func (s *store) read(r *http.Request) (int, []byte) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, _ := strconv.Atoi(q.Get("max_kb"))
	if maxKB == 0 {
		maxKB = 1024
	}
	t := s.topic(q.Get("topic"))
	s.mu.Lock()
	appended, length := t.appended, len(t.records)
	s.mu.Unlock()
	if from >= length {
		select {
		case <-appended:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
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
	return http.StatusOK, b
}

func (s *store) newest(r *http.Request) (int, []byte) {
	q := r.URL.Query()
	t := s.topic(q.Get("topic"))
	s.mu.Lock()
	defer s.mu.Unlock()
	offsets := map[string]int{}
	for offset, record := range t.records {
		key := string(record[1 : 1+int(record[0])])
		if offsets[key] = offset; len(record) == 1+len(key) {
			delete(offsets, key)
		}
	}
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	page := struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		End     int    `json:"end"`
	}{Items: []item{}, End: len(t.records)}
	for _, key := range slices.Sorted(maps.Keys(offsets)) {
		if key <= q.Get("start_after") {
			continue
		}
		if page.HasMore = len(page.Items) == newestPage; page.HasMore {
			break
		}
		record := t.records[offsets[key]]
		page.Items = append(page.Items, item{key, base64.StdEncoding.EncodeToString(record[1+len(key):]), offsets[key]})
	}
	data, _ := json.Marshal(page)
	return http.StatusOK, data
}

// gate is the way from a machine to the store. While it is cut, nothing passes in either
// direction.
type gate struct {
	mu     sync.Mutex
	healed chan struct{}
}

func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.healed == nil {
		g.healed = make(chan struct{})
	}
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.healed != nil {
		close(g.healed)
		g.healed = nil
	}
}

// pass waits until the way is open. It returns false if the caller has gone before.
func (g *gate) pass(ctx context.Context) bool {
	for {
		g.mu.Lock()
		healed := g.healed
		g.mu.Unlock()
		if healed == nil {
			return ctx.Err() == nil
		}
		select {
		case <-healed:
		case <-ctx.Done():
			return false
		}
	}
}

// serve serves h on a free port of an address until the process ends.
func serve(ip string, h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}
