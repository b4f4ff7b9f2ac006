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

// minions lets a script answer each connection in turn and counts the requests
// whose head arrived whole.
type minions struct {
	mu       sync.Mutex
	script   []string
	received int
	listener net.Listener
	// release lets slow answers go.
	release chan struct{}
}

func newMinions(t *testing.T, script ...string) *minions {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &minions{script: script, listener: l, release: make(chan struct{})}
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

// serve plays one step for each request of a connection.
func (m *minions) serve(c net.Conn) {
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
			<-m.release
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		case "cut":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
			return
		case "crossed":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nDaisyhead-Request-Id: other\r\nContent-Length: 5\r\n\r\nother")
		default:
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nDaisyhead-Request-Id: %s\r\nContent-Length: 5\r\n\r\nwhole", id)
		}
	}
}

func (m *minions) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.received
}

// slots always has a slot at the scripted minion.
type slots struct{ l *limiter.Limiter }

func newSlots(address string) slots {
	l := limiter.New("a", limiter.Config{Fresh: time.Hour, Start: time.Now()})
	l.Update(&decider.View{Revision: 1, Epoch: 1, Members: []string{"a"}, CaughtUp: true, Services: map[string][]decider.Target{
		"s": {{Name: "m", Address: address, Slots: 64, Connections: 64}},
	}})
	return slots{l}
}

// Acquire ignores what was tried: the script stands for all minions.
func (s slots) Acquire(ctx context.Context, r limiter.Request) (*limiter.Lease, error) {
	r.Exclude = nil
	return s.l.Acquire(ctx, r)
}

// claims is a ledger of one process.
type claims struct {
	mu   sync.Mutex
	held map[string]*standing
}

// standing is a claim; done is closed once it has ended.
type standing struct {
	claim reducer.Claim
	done  chan struct{}
}

// endDelay lets a caller's repeat come before the outcome is recorded: the answer
// is streamed first.
const endDelay = 5 * time.Millisecond

// Claim returns a standing claim once that has ended, or the context ends.
func (c *claims) Claim(ctx context.Context, r claimer.Request) (*reducer.Claim, error) {
	c.mu.Lock()
	old, ok := c.held[r.Key]
	if !ok {
		c.held[r.Key] = &standing{claim: reducer.Claim{Outcome: encoder.OutcomeUnknown}, done: make(chan struct{})}
	}
	c.mu.Unlock()
	if !ok {
		return nil, nil
	}
	select {
	case <-old.done:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	claim := old.claim
	return &claim, nil
}

func (c *claims) End(r claimer.Request, e claimer.Ending) {
	time.Sleep(endDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.held[r.Key]
	held.claim = reducer.Claim{Ended: true, Outcome: e.Outcome, Status: e.Status, Body: e.Body, Type: e.Type, Truncated: e.Truncated, Reason: e.Reason}
	close(held.done)
}

type accessLog struct{}

func (accessLog) Access(router.Access) {}

func newRouter(address string) *router.Router {
	shared, once := router.NewTransports(8)
	return &router.Router{
		Limiter: newSlots(address), Claimer: &claims{held: map[string]*standing{}}, Log: accessLog{},
		Shared: shared, Once: once, Budget: router.NewBudget(1000),
	}
}

// reply is what a caller sees.
type reply struct {
	Status   int
	Body     string
	Outcome  encoder.Outcome
	Broken   bool
	Replayed bool
}

func send(t *testing.T, server *httptest.Server, method, mark, key string) (got reply) {
	t.Helper()
	req, err := http.NewRequest(method, server.URL, bytes.NewReader([]byte("body")))
	if err != nil {
		t.Fatal(err)
	}
	req.GetBody = nil
	if mark != "" {
		req.Header.Set(router.HeaderIdempotent, mark)
	}
	if key != "" {
		req.Header.Set(router.HeaderKey, key)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return reply{Broken: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	got = reply{Status: resp.StatusCode, Body: string(body), Outcome: encoder.Outcome(resp.Header.Get(router.HeaderOutcome)), Broken: err != nil}
	got.Replayed = resp.Header.Get(router.HeaderReplayed) != ""
	if resp.StatusCode != http.StatusOK {
		var e replier.Error
		_ = json.Unmarshal(body, &e)
		got.Body = e.Code
	}
	return got
}

// TestFaults plays each fault of a minion against each kind of request.
func TestFaults(t *testing.T) {
	whole := reply{Status: 200, Body: "whole", Outcome: encoder.OutcomeRan}
	unknown := reply{Status: 502, Body: "MinionFailed", Outcome: encoder.OutcomeUnknown}
	cut := reply{Status: 200, Body: "half", Outcome: encoder.OutcomeRan, Broken: true}
	tests := []struct {
		name, method, mark, key string
		script                  []string
		want                    reply
		received                int
	}{
		{"idempotent, reset once", "PUT", "", "", []string{"reset"}, whole, 2},
		{"idempotent, reset every time", "PUT", "", "", []string{"reset", "reset", "reset"}, unknown, 3},
		{"idempotent, connection closed before the request", "PUT", "", "", []string{"close"}, whole, 1},
		{"idempotent, answer of another request", "GET", "", "", []string{"crossed"}, whole, 2},
		{"idempotent, answer cut", "GET", "", "", []string{"cut"}, cut, 1},
		{"marked idempotent POST, reset once", "POST", "true", "", []string{"reset"}, whole, 2},
		{"unmarked POST is sent once", "POST", "", "", []string{"reset"}, unknown, 1},
		{"unmarked POST with a key is sent once", "POST", "", "k", []string{"reset"}, unknown, 1},
		{"not idempotent, reset", "POST", "false", "k", []string{"reset"}, unknown, 1},
		{"not idempotent GET with a key, reset", "GET", "false", "k", []string{"reset"}, unknown, 1},
		{"not idempotent PUT, answer cut", "PUT", "false", "k", []string{"cut"}, cut, 1},
		{"not idempotent, answer of another request", "POST", "false", "k", []string{"crossed"}, unknown, 1},
		{"not idempotent, whole", "POST", "false", "k", nil, whole, 1},
		{"not idempotent without a key", "POST", "false", "", nil, reply{Status: 400, Body: "Invalid", Outcome: encoder.OutcomeNotRun}, 0},
		{"a mark that is neither true nor false", "POST", "maybe", "k", nil, reply{Status: 400, Body: "Invalid", Outcome: encoder.OutcomeNotRun}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMinions(t, test.script...)
			server := serve(t, newRouter(m.listener.Addr().String()))
			got := send(t, server, test.method, test.mark, test.key)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("reply differs (-want +got):\n%s", diff)
			}
			if n := m.count(); n != test.received {
				t.Errorf("the minion received %d requests, want %d", n, test.received)
			}
		})
	}
}

func serve(t *testing.T, r *router.Router) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.Serve(w, req, router.Call{RequestID: "id-1", Workspace: "a", Service: "s", Path: "/"})
	}))
	server.Config.ErrorLog = nil
	t.Cleanup(server.Close)
	return server
}

// TestUnreachableMinionIsNotRun finds nobody listening: nothing can have run.
func TestUnreachableMinionIsNotRun(t *testing.T) {
	m := newMinions(t)
	_ = m.listener.Close()
	server := serve(t, newRouter(m.listener.Addr().String()))
	got := send(t, server, "POST", "false", "k")
	if got.Outcome != encoder.OutcomeNotRun || got.Status != http.StatusBadGateway {
		t.Errorf("got %+v, want 502 NotRun", got)
	}
}

// TestRepeatedKey repeats a key after each outcome of the first request.
func TestRepeatedKey(t *testing.T) {
	tests := []struct {
		name   string
		script []string
		want   reply
	}{
		{"after a whole answer", nil, reply{Status: 200, Body: "whole", Outcome: encoder.OutcomeRan, Replayed: true}},
		{"after a reset", []string{"reset"}, reply{Status: 502, Body: "EarlierAttempt", Outcome: encoder.OutcomeUnknown}},
		{"after a cut answer", []string{"cut"}, reply{Status: 409, Body: "AnswerNotKept", Outcome: encoder.OutcomeRan}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMinions(t, test.script...)
			server := serve(t, newRouter(m.listener.Addr().String()))
			send(t, server, "POST", "false", "k")
			if diff := cmp.Diff(test.want, send(t, server, "POST", "false", "k")); diff != "" {
				t.Errorf("reply differs (-want +got):\n%s", diff)
			}
			if n := m.count(); n != 1 {
				t.Errorf("the minion received %d requests, want 1", n)
			}
		})
	}
}

// TestLateAnswer lets the caller give up before the minion answers: the slot
// stays taken meanwhile, and a repeat of the key gets the late answer.
func TestLateAnswer(t *testing.T) {
	m := newMinions(t, "slow")
	r := newRouter(m.listener.Addr().String())
	l := limiter.New("a", limiter.Config{Fresh: time.Hour, Start: time.Now()})
	l.Update(&decider.View{Revision: 1, Epoch: 1, Members: []string{"a"}, CaughtUp: true, Services: map[string][]decider.Target{
		"s": {{Name: "m", Address: m.listener.Addr().String(), Slots: 1, Connections: 64}},
	}})
	r.Limiter = l
	call := func(timeout string) reply {
		req := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body"))
		req.Header.Set(router.HeaderIdempotent, "false")
		req.Header.Set(router.HeaderKey, "k")
		req.Header.Set(router.HeaderTimeout, timeout)
		w := httptest.NewRecorder()
		r.Serve(w, req, router.Call{RequestID: "id-1", Workspace: "a", Service: "s", Path: "/"})
		return reply{Status: w.Code, Outcome: encoder.Outcome(w.Header().Get(router.HeaderOutcome)), Replayed: w.Header().Get(router.HeaderReplayed) != ""}
	}
	if diff := cmp.Diff(reply{Status: 504, Outcome: encoder.OutcomeUnknown}, call("50ms")); diff != "" {
		t.Errorf("first reply differs (-want +got):\n%s", diff)
	}
	if used := l.Used(); len(used) != 1 {
		t.Errorf("slots in use %v, want the abandoned one", used)
	}
	close(m.release)
	var got reply
	for range 200 {
		if got = call("50ms"); got.Replayed {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if diff := cmp.Diff(reply{Status: 200, Outcome: encoder.OutcomeRan, Replayed: true}, got); diff != "" {
		t.Errorf("later reply differs (-want +got):\n%s", diff)
	}
	if n := m.count(); n != 1 {
		t.Errorf("the minion received %d requests, want 1", n)
	}
}
