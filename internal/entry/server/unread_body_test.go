package server_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"daisyhead/internal/entry/authenticator"
	"daisyhead/internal/entry/server"
	"daisyhead/internal/ledger/reducer"
)

// unreadBody fails the test when it is read.
type unreadBody struct{ t *testing.T }

func (b unreadBody) Read([]byte) (int, error) {
	b.t.Error("the body was read")
	return 0, http.ErrBodyReadAfterClose
}

// TestBodyOfUnknownCallerIsNotRead guards against callers without a token whose large bodies are
// decoded before they are rejected.
func TestBodyOfUnknownCallerIsNotRead(t *testing.T) {
	auth, err := authenticator.New([]authenticator.Token{{Name: "auditor", Role: authenticator.RoleReader, Hash: authenticator.Hash("reader")}}, false)
	if err != nil {
		t.Fatal(err)
	}
	s := server.New(server.Config{Name: "entry-1", Control: &fakeControl{state: reducer.New()}, Router: fakeRouter{}, Authenticator: auth, Meter: fakeMeter{}})
	for _, path := range []string{"/v1/jobs", "/v1/jobs/x/cancel"} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, unreadBody{t}))
		if w.Code != http.StatusUnauthorized {
			t.Errorf("%s: status %d, want 401", path, w.Code)
		}
	}
}

// TestTicketOfOtherCallersIsNotRead guards against callers who may not apply tickets, and whose
// bodies are decoded before they are rejected.
func TestTicketOfOtherCallersIsNotRead(t *testing.T) {
	auth, err := authenticator.New([]authenticator.Token{{Name: "auditor", Role: authenticator.RoleReader, Hash: authenticator.Hash("reader")}}, false)
	if err != nil {
		t.Fatal(err)
	}
	s := server.New(server.Config{Name: "entry-1", Control: &fakeControl{state: reducer.New()}, Router: fakeRouter{}, Authenticator: auth, Meter: fakeMeter{}})
	r := httptest.NewRequest(http.MethodPost, "/v1/tickets", unreadBody{t})
	r.Header.Set("Authorization", "Bearer reader")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	if w.Code != http.StatusForbidden {
		t.Errorf("status %d, want 403", w.Code)
	}
}
