package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/forwarder"
	"daisyhead/internal/workload/reducer"
)

// fakeTransport answers for some addresses; the others are unreachable.
type fakeTransport struct {
	answers map[string]acceptor.Answer
	asked   map[string]int
}

func (f *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	f.asked[r.URL.Host]++
	a, ok := f.answers[r.URL.Host]
	if !ok {
		time.Sleep(600 * time.Millisecond)
		return nil, errors.New("no route")
	}
	data, err := cbor.Marshal(a)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data))}, nil
}

// TestUnreachablePeerIsSkipped checks that a peer that could not be reached is not tried again
// at once, but is tried again after a pause.
func TestUnreachablePeerIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		transport := &fakeTransport{answers: map[string]acceptor.Answer{"b": {Verdict: acceptor.NotRun}}, asked: map[string]int{}}
		f := forwarder.New(&http.Client{Transport: transport})
		f.SetPeers([]string{"a", "b"})
		call := acceptor.Call{Kind: acceptor.KindState, Path: "/p/x"}
		for range 3 {
			if _, ok := f.Forward(context.Background(), call, 2); ok {
				t.Error("Forward took NotRun for an answer")
			}
		}
		if diff := cmp.Diff(map[string]int{"a": 1, "b": 3}, transport.asked); diff != "" {
			t.Errorf("calls per address (-want +got):\n%s", diff)
		}
		time.Sleep(3 * time.Second)
		transport.answers["a"] = acceptor.Answer{Verdict: acceptor.StateReported}
		if a, ok := f.Forward(context.Background(), call, 2); !ok || a.Verdict != acceptor.StateReported {
			t.Errorf("a peer that is reachable again is not asked: %+v", a)
		}
	})
}

// namedProcess is a Storer that only tells its name.
type namedProcess struct {
	forwarder.Storer
	name string
}

func (p namedProcess) Process() string { return p.name }

// TestProcess asks an instance which process answers there.
func TestProcess(t *testing.T) {
	s := httptest.NewServer(forwarder.Handler(nil, namedProcess{name: "i1/2"}))
	address := s.Listener.Addr().String()
	f := forwarder.New(s.Client())
	if got, err := f.Process(context.Background(), address); err != nil || got != "i1/2" {
		t.Errorf("process %q, error %v, want i1/2 and none", got, err)
	}
	s.Close()
	if got, err := f.Process(context.Background(), address); err == nil {
		t.Errorf("process %q at an address where nothing listens, want an error", got)
	}
}

// refusingStorer refuses every record.
type refusingStorer struct{ forwarder.Storer }

func (refusingStorer) Store(context.Context, reducer.Record) error {
	return &acceptor.Refusal{Reason: "too late", RetryAfterMS: 7000}
}

// TestRefusalReachesAskingInstance guards against a refusal by the holder that arrives as another
// error, after which the asking instance would write the record itself or ask more peers.
func TestRefusalReachesAskingInstance(t *testing.T) {
	s := httptest.NewServer(forwarder.Handler(nil, refusingStorer{}))
	defer s.Close()
	err := forwarder.New(s.Client()).Store(context.Background(), s.Listener.Addr().String(), reducer.Record{Key: "k"})
	var got *acceptor.Refusal
	if !errors.As(err, &got) || !errors.Is(err, follower.ErrNotWritten) {
		t.Fatalf("error %v, want a refusal", err)
	}
	if diff := cmp.Diff(&acceptor.Refusal{Reason: "too late", RetryAfterMS: 7000}, got); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
	refusal := acceptor.Answer{Verdict: acceptor.NotRun, RetryAfterMS: 7000, Overloaded: true}
	transport := &fakeTransport{answers: map[string]acceptor.Answer{"a": refusal}, asked: map[string]int{}}
	f := forwarder.New(&http.Client{Transport: transport})
	f.SetPeers([]string{"a"})
	if a, ok := f.Forward(context.Background(), acceptor.Call{Kind: acceptor.KindSubmit, Path: "/p/x"}, 1); !ok || a != refusal {
		t.Errorf("Forward returned %+v, %t, want the refusal", a, ok)
	}
}
