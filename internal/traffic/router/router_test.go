package router_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/entry/replier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/traffic/claimer"
	"daisyhead/internal/traffic/limiter"
	"daisyhead/internal/traffic/router"
)

// scriptedMinion is a minion that handles each request with the next step of its
// script and counts the requests that it has received completely.
type scriptedMinion struct {
	mu       sync.Mutex
	script   []string
	received int
	listener net.Listener
	// releaseSlow is closed to let the responses of "slow" steps continue.
	releaseSlow chan struct{}
}

func newScriptedMinion(t *testing.T, script ...string) *scriptedMinion {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &scriptedMinion{script: script, listener: l, releaseSlow: make(chan struct{})}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	return m
}

// serve handles the requests of a connection, each with one step of the script.
func (m *scriptedMinion) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		m.mu.Lock()
		step := "whole"
		if len(m.script) > 0 {
			step, m.script = m.script[0], m.script[1:]
		}
		m.mu.Unlock()
		if step == "close" {
			return
		}
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(router.HeaderRequestID)
		m.mu.Lock()
		m.received++
		m.mu.Unlock()
		switch step {
		case "reset":
			return
		case "slow":
			<-m.releaseSlow
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		case "cut":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			return
		case "wrong ID":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nDaisyhead-Request-Id: other\r\nContent-Length: 5\r\n\r\nother")
		default:
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nDaisyhead-Request-Id: %s\r\nContent-Length: 5\r\n\r\nwhole", id)
		}
	}
}

// count returns the number of requests that were received completely.
func (m *scriptedMinion) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.received
}

// scriptedLimiter grants slots of the scripted minion, which has more of them than
// the tests use.
type scriptedLimiter struct{ l *limiter.Limiter }

func newScriptedLimiter(address string) scriptedLimiter {
	l := limiter.New("a", limiter.Config{MaxViewAge: time.Hour, ClockOrigin: time.Now()})
	l.Update(&decider.View{Revision: 1, Epoch: 1, Members: []string{"a"}, CaughtUp: true, Services: map[string][]decider.Target{
		"s": {{Name: "m", Address: address, Slots: 64, Connections: 64}},
	}})
	return scriptedLimiter{l}
}

// Acquire ignores Exclude, because the scripted minion stands for all minions.
func (s scriptedLimiter) Acquire(ctx context.Context, r limiter.Request) (*limiter.Lease, error) {
	r.Exclude = nil
	return s.l.Acquire(ctx, r)
}

// fakeClaimer keeps the claims in memory instead of the ledger.
type fakeClaimer struct {
	mu     sync.Mutex
	claims map[string]*fakeClaim
}

// fakeClaim is a claim. done is closed once its result is recorded.
type fakeClaim struct {
	claim reducer.Claim
	done  chan struct{}
}

// recordDelay delays the recording of a result, so that a repeated request arrives
// before it. This happens in operation too, as the response is streamed first.
const recordDelay = 5 * time.Millisecond

// Claim returns an existing claim once its result is recorded or the context ends.
func (c *fakeClaimer) Claim(ctx context.Context, r claimer.Request) (*reducer.Claim, error) {
	c.mu.Lock()
	existing, ok := c.claims[r.Key]
	if !ok {
		c.claims[r.Key] = &fakeClaim{claim: reducer.Claim{Outcome: encoder.OutcomeUnknown}, done: make(chan struct{})}
	}
	c.mu.Unlock()
	if !ok {
		return nil, nil
	}
	select {
	case <-existing.done:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	claim := existing.claim
	return &claim, nil
}

func (c *fakeClaimer) RecordResult(r claimer.Request, result claimer.Result) {
	time.Sleep(recordDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	existing := c.claims[r.Key]
	existing.claim = reducer.Claim{Ended: true, Outcome: result.Outcome, Status: result.Status, Body: result.Body, Type: result.Type, Truncated: result.Truncated, Reason: result.Reason}
	close(existing.done)
}

type discardAccessLog struct{}

func (discardAccessLog) LogAccess(router.AccessRecord) {}

func newRouter(address string) *router.Router {
	pooled, singleUse := router.NewTransports(8)
	return &router.Router{
		Limiter: newScriptedLimiter(address), Claimer: &fakeClaimer{claims: map[string]*fakeClaim{}}, Log: discardAccessLog{},
		PooledTransport: pooled, SingleUseTransport: singleUse, RetryBudget: router.NewRetryBudget(1000),
	}
}

// callerResponse is the response as the caller sees it.
type callerResponse struct {
	Status   int
	Body     string
	Outcome  encoder.Outcome
	Broken   bool
	Replayed bool
}

// send sends one request on a connection of its own. The code of an error response is
// returned as its body.
func send(t *testing.T, server *httptest.Server, method, idempotent, key string) (got callerResponse) {
	t.Helper()
	req, err := http.NewRequest(method, server.URL, bytes.NewReader([]byte("body")))
	if err != nil {
		t.Fatal(err)
	}
	req.GetBody = nil
	if idempotent != "" {
		req.Header.Set(router.HeaderIdempotent, idempotent)
	}
	if key != "" {
		req.Header.Set(router.HeaderKey, key)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return callerResponse{Broken: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	got = callerResponse{Status: resp.StatusCode, Body: string(body), Outcome: encoder.Outcome(resp.Header.Get(router.HeaderOutcome)), Broken: err != nil}
	got.Replayed = resp.Header.Get(router.HeaderReplayed) != ""
	if resp.StatusCode != http.StatusOK {
		var e replier.Error
		_ = json.Unmarshal(body, &e)
		got.Body = e.Code
	}
	return got
}

// TestFaults checks the response and the number of tries for each fault of a
// minion, by delivery mode.
func TestFaults(t *testing.T) {
	whole := callerResponse{Status: 200, Body: "whole", Outcome: encoder.OutcomeRan}
	unknown := callerResponse{Status: 502, Body: "MinionFailed", Outcome: encoder.OutcomeUnknown}
	truncated := callerResponse{Status: 200, Body: "half", Outcome: encoder.OutcomeRan, Broken: true}
	tests := []struct {
		name, method, idempotent, key string
		script                        []string
		want                          callerResponse
		received                      int
	}{
		{"idempotent, reset once", "PUT", "", "", []string{"reset"}, whole, 2},
		{"idempotent, reset every time", "PUT", "", "", []string{"reset", "reset", "reset"}, unknown, 3},
		{"idempotent, connection closed before the request", "PUT", "", "", []string{"close"}, whole, 1},
		{"idempotent, response to another request", "GET", "", "", []string{"wrong ID"}, whole, 2},
		{"idempotent, response truncated", "GET", "", "", []string{"cut"}, truncated, 1},
		{"marked idempotent POST, reset once", "POST", "true", "", []string{"reset"}, whole, 2},
		{"unmarked POST is sent once", "POST", "", "", []string{"reset"}, unknown, 1},
		{"unmarked POST with a key is sent once", "POST", "", "k", []string{"reset"}, unknown, 1},
		{"not idempotent, reset", "POST", "false", "k", []string{"reset"}, unknown, 1},
		{"not idempotent GET with a key, reset", "GET", "false", "k", []string{"reset"}, unknown, 1},
		{"not idempotent PUT, response truncated", "PUT", "false", "k", []string{"cut"}, truncated, 1},
		{"not idempotent, response to another request", "POST", "false", "k", []string{"wrong ID"}, unknown, 1},
		{"not idempotent, complete response", "POST", "false", "k", nil, whole, 1},
		{"not idempotent without a key", "POST", "false", "", nil, callerResponse{Status: 400, Body: "Invalid", Outcome: encoder.OutcomeNotRun}, 0},
		{"header value that is neither true nor false", "POST", "maybe", "k", nil, callerResponse{Status: 400, Body: "Invalid", Outcome: encoder.OutcomeNotRun}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newScriptedMinion(t, test.script...)
			server := serve(t, newRouter(m.listener.Addr().String()))
			got := send(t, server, test.method, test.idempotent, test.key)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("response differs (-want +got):\n%s", diff)
			}
			if n := m.count(); n != test.received {
				t.Errorf("the minion received %d requests, want %d", n, test.received)
			}
		})
	}
}

// serve starts a server that passes every request to the router.
func serve(t *testing.T, r *router.Router) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.Serve(w, req, router.Call{RequestID: "id-1", Workspace: "a", Service: "s", Path: "/"})
	}))
	server.Config.ErrorLog = nil
	t.Cleanup(server.Close)
	return server
}

// TestUnreachableMinionIsNotRun checks that a refused connection is reported as
// NotRun, since no byte of the request was sent.
func TestUnreachableMinionIsNotRun(t *testing.T) {
	m := newScriptedMinion(t)
	_ = m.listener.Close()
	server := serve(t, newRouter(m.listener.Addr().String()))
	got := send(t, server, "POST", "false", "k")
	if got.Outcome != encoder.OutcomeNotRun || got.Status != http.StatusBadGateway {
		t.Errorf("got %+v, want 502 NotRun", got)
	}
}

// TestRepeatedKey checks that a repeated idempotency key gets the result of the
// first request and doesn't reach the minion again.
func TestRepeatedKey(t *testing.T) {
	tests := []struct {
		name   string
		script []string
		want   callerResponse
	}{
		{"after a complete response", nil, callerResponse{Status: 200, Body: "whole", Outcome: encoder.OutcomeRan, Replayed: true}},
		{"after a reset", []string{"reset"}, callerResponse{Status: 502, Body: "EarlierAttempt", Outcome: encoder.OutcomeUnknown}},
		{"after a truncated response", []string{"cut"}, callerResponse{Status: 409, Body: "AnswerNotKept", Outcome: encoder.OutcomeRan}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newScriptedMinion(t, test.script...)
			server := serve(t, newRouter(m.listener.Addr().String()))
			send(t, server, "POST", "false", "k")
			if diff := cmp.Diff(test.want, send(t, server, "POST", "false", "k")); diff != "" {
				t.Errorf("response differs (-want +got):\n%s", diff)
			}
			if n := m.count(); n != 1 {
				t.Errorf("the minion received %d requests, want 1", n)
			}
		})
	}
}

// TestLateResponse checks a request whose caller times out before the minion
// responds: the slot stays in use until then, and a request that repeats the key
// gets the late response.
func TestLateResponse(t *testing.T) {
	m := newScriptedMinion(t, "slow")
	r := newRouter(m.listener.Addr().String())
	l := limiter.New("a", limiter.Config{MaxViewAge: time.Hour, ClockOrigin: time.Now()})
	l.Update(&decider.View{Revision: 1, Epoch: 1, Members: []string{"a"}, CaughtUp: true, Services: map[string][]decider.Target{
		"s": {{Name: "m", Address: m.listener.Addr().String(), Slots: 1, Connections: 64}},
	}})
	r.Limiter = l
	call := func(timeout string) callerResponse {
		req := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
		req.Header.Set(router.HeaderIdempotent, "false")
		req.Header.Set(router.HeaderKey, "k")
		req.Header.Set(router.HeaderTimeout, timeout)
		w := httptest.NewRecorder()
		r.Serve(w, req, router.Call{RequestID: "id-1", Workspace: "a", Service: "s", Path: "/"})
		return callerResponse{Status: w.Code, Outcome: encoder.Outcome(w.Header().Get(router.HeaderOutcome)), Replayed: w.Header().Get(router.HeaderReplayed) != ""}
	}
	if diff := cmp.Diff(callerResponse{Status: 504, Outcome: encoder.OutcomeUnknown}, call("50ms")); diff != "" {
		t.Errorf("first response differs (-want +got):\n%s", diff)
	}
	if used := l.InFlight(); len(used) != 1 {
		t.Errorf("slots in use: %v, want the one of the abandoned request", used)
	}
	close(m.releaseSlow)
	var got callerResponse
	for range 200 {
		if got = call("50ms"); got.Replayed {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if diff := cmp.Diff(callerResponse{Status: 200, Outcome: encoder.OutcomeRan, Replayed: true}, got); diff != "" {
		t.Errorf("repeated response differs (-want +got):\n%s", diff)
	}
	if n := m.count(); n != 1 {
		t.Errorf("the minion received %d requests, want 1", n)
	}
}
