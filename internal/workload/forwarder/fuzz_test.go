package forwarder_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/forwarder"
	"daisyhead/internal/workload/reducer"
)

// anything answers all messages.
type anything struct{ called int }

func (a *anything) Answer(context.Context, acceptor.Call) acceptor.Answer {
	a.called++
	return acceptor.Answer{Verdict: acceptor.Accepted}
}

func (a *anything) Store(context.Context, reducer.Record) error {
	a.called++
	return nil
}

func (a *anything) TakeOver(uint64) { a.called++ }

func (a *anything) Process() string { return "p" }

func (a *anything) WriteOutcomes([]reducer.Record) bool {
	a.called++
	return true
}

// FuzzMessages checks that any body of a peer's message is either handled or refused with 400.
func FuzzMessages(f *testing.F) {
	for _, msg := range []any{
		acceptor.Call{Kind: acceptor.KindSubmit, Job: &describer.Job{Steps: []describer.Step{{Count: 1}}}},
		reducer.Record{Key: "k", Value: []byte("v")}, forwarder.YieldRequest{Term: 3}, []reducer.Record{{Key: "outcome/j"}},
	} {
		data, err := cbor.Marshal(msg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add(bytes.Repeat([]byte{0x81}, 1000))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{"/v1/calls", "/v1/records", "/v1/yields", "/v1/outcomes"} {
			a, w := &anything{}, httptest.NewRecorder()
			forwarder.Handler(a, a).ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
			if handled := w.Code == http.StatusOK; handled != (a.called == 1) || !handled && w.Code != http.StatusBadRequest {
				t.Errorf("%s: status %d after %d calls", path, w.Code, a.called)
			}
		}
	})
}

// TestLongListsAreRefused guards against messages whose decoded form has hundreds of times their
// size.
func TestLongListsAreRefused(t *testing.T) {
	body := append([]byte{0x9a, 0, 1, 0, 0}, bytes.Repeat([]byte{0xa0}, 1<<16)...)
	a, w := &anything{}, httptest.NewRecorder()
	forwarder.Handler(a, a).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/outcomes", bytes.NewReader(body)))
	if w.Code != http.StatusBadRequest || a.called != 0 {
		t.Errorf("status %d after %d calls", w.Code, a.called)
	}
}
