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

// callerCount is the number of callers that send requests concurrently.
const callerCount = 6

// callerPool simulates callers that reach the instances through a load balancer.
type callerPool struct {
	cluster     *cluster
	service     string
	workspace   string
	client      *http.Client
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	nextAddress atomic.Uint64

	mu sync.Mutex
	// killed maps the API addresses of killed instances to when they were killed.
	killed map[string]time.Time
	counts callerCounts
	// outcomes holds the last outcome reported to the caller, by idempotency key.
	outcomes map[string]encoder.Outcome
}

// callerCounts counts the requests of all callers.
type callerCounts struct {
	Sent int
	// Answered counts responses with status 200, Refused all others.
	Answered int
	Refused  int
	// Cut counts connections that broke although their instance wasn't killed.
	Cut int
	// Wrong counts responses with status 200 whose content doesn't match the request.
	Wrong   int
	Details []string
}

// startCallers starts callerCount callers that send requests until stop is called.
func startCallers(ctx context.Context, c *cluster, service, workspace string) *callerPool {
	ctx, cancel := context.WithCancel(ctx)
	p := &callerPool{
		cluster: c, service: service, workspace: workspace, cancel: cancel,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 20 * time.Second},
		killed: map[string]time.Time{}, outcomes: map[string]encoder.Outcome{},
	}
	for i := range callerCount {
		p.goroutines.Add(1)
		go func() {
			defer p.goroutines.Done()
			p.sendRequests(ctx, i)
		}()
	}
	return p
}

func (p *callerPool) stop() {
	p.cancel()
	p.goroutines.Wait()
}

// allowCuts accepts broken connections to an instance that is about to be killed.
func (p *callerPool) allowCuts(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed[address] = time.Now()
}

// cutsAllowed reports whether allowCuts was called for the address.
func (p *callerPool) cutsAllowed(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.killed[address]
	return ok
}

func (p *callerPool) updateCounts(f func(*callerCounts)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.counts)
}

// sendRequests sends requests one after the other until the context ends. Every
// fourth is a booking, which is not idempotent.
func (p *callerPool) sendRequests(ctx context.Context, n int) {
	for i := 0; ctx.Err() == nil; i++ {
		if i%4 == 3 {
			p.sendBooking(fmt.Sprintf("booking-%d-%d", n, i))
		} else {
			p.sendIdempotent()
		}
		sleep(ctx, 30*time.Millisecond)
	}
}

// pickAddress returns the API addresses of the instances in turn, as a load
// balancer does.
func (p *callerPool) pickAddress() string {
	addresses := p.cluster.apiAddresses()
	return addresses[p.nextAddress.Add(1)%uint64(len(addresses))]
}

// request holds what a caller keeps of a request in order to retry it and to check
// its response.
type request struct {
	method string
	key    string
	body   []byte
	id     string
}

// sendIdempotent sends an idempotent request, with up to five attempts, each to the
// next instance.
func (p *callerPool) sendIdempotent() {
	r := request{method: http.MethodPut, id: uuid.NewString(), body: []byte(uuid.NewString())}
	for range 5 {
		if p.send(r, p.pickAddress()) {
			return
		}
	}
}

// sendBooking sends a booking, with up to five attempts, each to the next instance
// with the same idempotency key.
func (p *callerPool) sendBooking(key string) {
	r := request{method: http.MethodPost, key: key, id: uuid.NewString(), body: []byte("one torso to Haro, " + key)}
	for range 5 {
		if p.send(r, p.pickAddress()) {
			return
		}
	}
}

// send makes one attempt and reports whether the caller is done with the request.
func (p *callerPool) send(r request, address string) bool {
	p.updateCounts(func(c *callerCounts) { c.Sent++ })
	req, err := http.NewRequest(r.method, "http://"+address+"/v1/services/"+p.service+"/orders?work=20ms", bytes.NewReader(r.body))
	if err != nil {
		return true
	}
	req.Header.Set("Daisyhead-Workspace", p.workspace)
	req.Header.Set(router.HeaderRequestID, r.id)
	if r.key != "" {
		req.Header.Set(router.HeaderIdempotent, "false")
		req.Header.Set(router.HeaderKey, r.key)
		// Keeps the HTTP transport from retrying the booking on its own.
		req.GetBody = nil
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return p.handleConnectionError(r, address, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return p.handleConnectionError(r, address, err)
	}
	return p.checkResponse(r, resp, body)
}

// handleConnectionError records the outcome as unknown and counts the broken
// connection, unless the instance was killed or refused the connection. It returns
// false, so that the request is retried.
func (p *callerPool) handleConnectionError(r request, address string, err error) bool {
	p.recordOutcome(r.key, encoder.OutcomeUnknown)
	if p.cutsAllowed(address) || isConnectionRefused(err) {
		return false
	}
	p.updateCounts(func(c *callerCounts) {
		c.Cut++
		c.Details = append(c.Details, "cut: "+err.Error())
	})
	return false
}

// recordOutcome stores the outcome of a request with an idempotency key.
func (p *callerPool) recordOutcome(key string, o encoder.Outcome) {
	if key == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outcomes[key] = o
}

// checkResponse records the outcome and, if the status is 200, compares the content
// with the request. It returns false for any other status, so that the request is
// retried.
func (p *callerPool) checkResponse(r request, resp *http.Response, body []byte) bool {
	p.recordOutcome(r.key, encoder.Outcome(resp.Header.Get(router.HeaderOutcome)))
	if resp.StatusCode != http.StatusOK {
		p.updateCounts(func(c *callerCounts) { c.Refused++ })
		return false
	}
	var a answerer.Answer
	digest := sha256.Sum256(r.body)
	err := json.Unmarshal(body, &a)
	correct := err == nil && a.Digest == hex.EncodeToString(digest[:]) && a.Key == r.key
	if resp.Header.Get(router.HeaderReplayed) == "" {
		correct = correct && a.RequestID == r.id
	}
	p.updateCounts(func(c *callerCounts) {
		c.Answered++
		if !correct {
			c.Wrong++
			c.Details = append(c.Details, "wrong answer: "+string(body))
		}
	})
	return true
}

// countWrongNotRun counts the idempotency keys whose caller was told "not run"
// although a minion executed the request.
func (p *callerPool) countWrongNotRun(executions map[string]int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	wrong := 0
	for key, o := range p.outcomes {
		if o == encoder.OutcomeNotRun && executions[key] > 0 {
			wrong++
		}
	}
	return wrong
}
