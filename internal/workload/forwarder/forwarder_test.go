package forwarder_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/forwarder"
)

// peers answers for some addresses and can't be reached at the others.
type peers struct {
	answers map[string]acceptor.Answer
	asked   map[string]int
}

func (p *peers) RoundTrip(r *http.Request) (*http.Response, error) {
	p.asked[r.URL.Host]++
	a, ok := p.answers[r.URL.Host]
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

// TestLostPeerIsPassedOver asks a peer that can't be reached once, and again after a while.
func TestLostPeerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &peers{answers: map[string]acceptor.Answer{"b": {Verdict: acceptor.NotRun}}, asked: map[string]int{}}
		f := forwarder.New(&http.Client{Transport: p})
		f.SetPeers([]string{"a", "b"})
		call := acceptor.Call{Kind: acceptor.KindState, Path: "/p/x"}
		for range 3 {
			if _, ok := f.Forward(context.Background(), call, 2); ok {
				t.Error("a peer that can't serve the call has served it")
			}
		}
		if diff := cmp.Diff(map[string]int{"a": 1, "b": 3}, p.asked); diff != "" {
			t.Errorf("calls (-want +got):\n%s", diff)
		}
		time.Sleep(3 * time.Second)
		p.answers["a"] = acceptor.Answer{Verdict: acceptor.Told}
		if a, ok := f.Forward(context.Background(), call, 2); !ok || a.Verdict != acceptor.Told {
			t.Errorf("a peer that is back is not asked: %+v", a)
		}
	})
}
