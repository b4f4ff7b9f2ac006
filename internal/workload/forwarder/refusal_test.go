package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/forwarder"
	"daisyhead/internal/workload/reducer"
)

// TestRefusedMessageIsNotInDoubt guards against callers that are told that their job may have
// been stored, although the peer had no room for the message and did not read it.
func TestRefusedMessageIsNotInDoubt(t *testing.T) {
	for status, inDoubt := range map[int]bool{http.StatusServiceUnavailable: false, http.StatusRequestEntityTooLarge: false, http.StatusInternalServerError: true} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		address := strings.TrimPrefix(s.URL, "http://")
		f := forwarder.New(s.Client())
		f.SetPeers([]string{address})
		if err := f.Store(context.Background(), address, reducer.Record{Key: "k"}); err == nil || errors.Is(err, follower.ErrNotWritten) == inDoubt {
			t.Errorf("status %d: error %v", status, err)
		}
		if _, answered := f.Forward(context.Background(), acceptor.Call{Kind: acceptor.KindSubmit}, 1); answered != inDoubt {
			t.Errorf("status %d: the call is answered as in doubt: %t, want %t", status, answered, inDoubt)
		}
		s.Close()
	}
}
