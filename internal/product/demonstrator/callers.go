package demonstrator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/standin/answerer"
	"daisyhead/internal/traffic/router"
)

// callerCount is how many callers send requests at once.
const callerCount = 6

// callers are the stand-ins of callers behind a balancer.
type callers struct {
	cluster   *cluster
	service   string
	workspace string
	client    *http.Client
	cancel    context.CancelFunc
	work      sync.WaitGroup
	next      atomic.Uint64

	mu sync.Mutex
	// killed maps the address of a killed instance to the time of its death.
	killed map[string]time.Time
	counts callerCounts
	// outcomes is the last outcome that each key's caller was told.
	outcomes map[string]encoder.Outcome
}

// callerCounts is what the callers saw.
type callerCounts struct {
	Sent     int
	Answered int
	Refused  int
	Cut      int
	Wrong    int
	Details  []string
}

func startCallers(ctx context.Context, c *cluster, service, workspace string) *callers {
	ctx, cancel := context.WithCancel(ctx)
	s := &callers{
		cluster: c, service: service, workspace: workspace, cancel: cancel,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 20 * time.Second},
		killed: map[string]time.Time{}, outcomes: map[string]encoder.Outcome{},
	}
	for i := range callerCount {
		s.work.Add(1)
		go func() {
			defer s.work.Done()
			s.run(ctx, i)
		}()
	}
	return s
}

func (s *callers) stop() {
	s.cancel()
	s.work.Wait()
}

// expectCuts allows cut answers from an instance that is about to be killed.
func (s *callers) expectCuts(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed[address] = time.Now()
}

func (s *callers) mayCut(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.killed[address]
	return ok
}

func (s *callers) count(f func(*callerCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.counts)
}

// run sends requests in turn, every fourth a booking.
func (s *callers) run(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		if i%4 == 3 {
			s.book(fmt.Sprintf("booking-%d-%d", n, i))
		} else {
			s.ask()
		}
		pause(ctx, 30*time.Millisecond)
	}
}

// address picks an instance as a balancer does.
func (s *callers) address() string {
	nodes := s.cluster.apiAddresses()
	return nodes[s.next.Add(1)%uint64(len(nodes))]
}

// request is one request as its caller knows it.
type request struct {
	method string
	key    string
	body   []byte
	id     string
}

func (s *callers) ask() {
	r := request{method: http.MethodPut, id: uuid.NewString(), body: []byte(uuid.NewString())}
	for range 5 {
		if s.send(r, s.address()) {
			return
		}
	}
}

// book sends a booking and repeats its key elsewhere until it knows the outcome.
func (s *callers) book(key string) {
	r := request{method: http.MethodPost, key: key, id: uuid.NewString(), body: []byte("one torso to Haro, " + key)}
	for range 5 {
		if s.send(r, s.address()) {
			return
		}
	}
}

// send makes one try and reports whether the caller is content with its answer.
func (s *callers) send(r request, address string) bool {
	s.count(func(c *callerCounts) { c.Sent++ })
	req, err := http.NewRequest(r.method, "http://"+address+"/v1/services/"+s.service+"/orders?work=20ms", bytes.NewReader(r.body))
	if err != nil {
		return true
	}
	req.Header.Set("Daisyhead-Workspace", s.workspace)
	req.Header.Set(router.HeaderRequestID, r.id)
	if r.key != "" {
		req.Header.Set(router.HeaderIdempotent, "false")
		req.Header.Set(router.HeaderKey, r.key)
		// Keeps this caller's own transport from sending a booking again.
		req.GetBody = nil
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return s.broken(r, address, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return s.broken(r, address, err)
	}
	return s.check(r, resp, body)
}

// broken judges a connection that broke: allowed only where an instance was killed.
func (s *callers) broken(r request, address string, err error) bool {
	s.note(r.key, encoder.OutcomeUnknown)
	if s.mayCut(address) || isRefused(err) {
		return false
	}
	s.count(func(c *callerCounts) {
		c.Cut++
		c.Details = append(c.Details, "cut: "+err.Error())
	})
	return false
}

func (s *callers) note(key string, o encoder.Outcome) {
	if key == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[key] = o
}

func (s *callers) check(r request, resp *http.Response, body []byte) bool {
	s.note(r.key, encoder.Outcome(resp.Header.Get(router.HeaderOutcome)))
	if resp.StatusCode != http.StatusOK {
		s.count(func(c *callerCounts) { c.Refused++ })
		return false
	}
	var a answerer.Answer
	digest := sha256.Sum256(r.body)
	err := json.Unmarshal(body, &a)
	right := err == nil && a.Digest == hex.EncodeToString(digest[:]) && a.Key == r.key
	if resp.Header.Get(router.HeaderReplayed) == "" {
		right = right && a.RequestID == r.id
	}
	s.count(func(c *callerCounts) {
		c.Answered++
		if !right {
			c.Wrong++
			c.Details = append(c.Details, "wrong answer: "+string(body))
		}
	})
	return true
}

// liesAbout counts keys whose caller was told "not run" although a minion ran them.
func (s *callers) liesAbout(executions map[string]int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lies := 0
	for key, o := range s.outcomes {
		if o == encoder.OutcomeNotRun && executions[key] > 0 {
			lies++
		}
	}
	return lies
}
