package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/entry/authenticator"
	"daisyhead/internal/entry/server"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/recorder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/standin/comparer"
	"daisyhead/internal/traffic/router"
)

// fakeControl applies proposals to the state immediately. Propose fails with err if it
// is set.
type fakeControl struct {
	state    *reducer.State
	sequence uint64
	err      error
}

func (c *fakeControl) Inspect(_ context.Context, read func(*reducer.State, decider.ControlStatus)) error {
	read(c.state, decider.ControlStatus{IsHolder: true})
	return nil
}

func (c *fakeControl) Propose(_ context.Context, entries ...encoder.Entry) ([]reducer.Result, error) {
	if c.err != nil {
		return nil, c.err
	}
	c.sequence++
	for i := range entries {
		entries[i].At = int64(c.sequence) * 1000
	}
	return c.state.Apply(c.state.Next, encoder.Batch{Version: 1, Writer: "entry-1/1", Sequence: c.sequence, Entries: entries}), nil
}

func (c *fakeControl) PublishTicket(ctx context.Context, id string, t specifier.Ticket) error {
	received := &encoder.TicketReceived{ConfigOffset: c.state.ConfigNext, SubmissionID: id, Ticket: t}
	_, err := c.Propose(ctx, encoder.Entry{Term: 1, TicketReceived: received})
	return err
}

func (c *fakeControl) View() *decider.View {
	return &decider.View{Workspaces: map[string]bool{"a": true}}
}

// fakeRouter responds with the workspace, service and path of the call.
type fakeRouter struct{}

func (fakeRouter) Serve(w http.ResponseWriter, _ *http.Request, c router.Call) {
	fmt.Fprintf(w, "%s %s %s", c.Workspace, c.Service, c.Path)
}

type fakeMeter struct{}

func (fakeMeter) Observe(string, int, time.Duration) {}

// TestSession sends valid and invalid requests of callers, operators and readers, and
// compares all responses with a golden file.
func TestSession(t *testing.T) {
	c := &fakeControl{state: reducer.New()}
	if _, err := c.Propose(t.Context(), encoder.Entry{TermClaimed: &encoder.TermClaimed{Term: 1, Holder: "entry-1/1"}}); err != nil {
		t.Fatal(err)
	}
	auth, err := authenticator.New([]authenticator.Token{
		{Name: "ines", Role: authenticator.RoleOperator, Hash: authenticator.Hash("operator")},
		{Name: "plant", Role: authenticator.RoleCaller, Workspace: "a", Hash: authenticator.Hash("caller")},
		{Name: "auditor", Role: authenticator.RoleReader, Hash: authenticator.Hash("reader")},
	}, false)
	if err != nil {
		t.Fatal(err)
	}
	s := server.New(server.Config{Name: "entry-1", Control: c, Router: fakeRouter{}, Authenticator: auth, Meter: fakeMeter{}})
	ticket := `{"Number":1,"Operator":"ines","Workspaces":[{"Name":"a"},{"Name":"b"}],"Domains":[{"Name":"d","State":"In"}],` +
		`"WorkerGroups":[{"Name":"r","Domain":"d","Rack":"r","Workers":[{"Name":"w","Address":"10.0.0.1:1","Processors":8,"MemoryMB":8000,"Accelerators":8}]}]}`
	job := `{"Key":"k","Name":"catch","Tasks":1,"Accelerators":4}`
	jobID := specifier.Job{Workspace: "a", Key: "k"}.ID()
	tooLargeID := specifier.Job{Workspace: "a", Key: "big"}.ID()
	steps := []struct {
		token, method, path, body string
		err                       error
	}{
		{"", "GET", "/v1/jobs", "", nil},
		{"wrong", "GET", "/v1/jobs", "", nil},
		{"caller", "POST", "/v1/tickets", ticket, nil},
		{"operator", "POST", "/v1/tickets?Check=true", ticket, nil},
		{"operator", "POST", "/v1/tickets", ticket, nil},
		{"operator", "POST", "/v1/tickets", ticket, nil},
		{"operator", "POST", "/v1/tickets", strings.Replace(ticket, `"b"`, `"c"`, 1), nil},
		{"operator", "POST", "/v1/tickets", `{"Number":2}`, nil},
		{"caller", "POST", "/v1/jobs", job, nil},
		{"caller", "POST", "/v1/jobs", job, nil},
		{"caller", "POST", "/v1/jobs", strings.Replace(job, `"Tasks":1`, `"Tasks":2`, 1), nil},
		{"caller", "POST", "/v1/jobs", `{"Workspace":"b","Tasks":1,"Accelerators":1}`, nil},
		{"caller", "POST", "/v1/jobs", `{"Tasks":1}`, nil},
		{"caller", "POST", "/v1/jobs", `{"Taskz":1}`, nil},
		{"caller", "POST", "/v1/jobs", `{"Key":"big","Name":"too-large","Tasks":9,"Accelerators":8}`, nil},
		{"reader", "POST", "/v1/jobs", job, nil},
		{"caller", "POST", "/v1/jobs", `{"Key":"x","Tasks":1,"Accelerators":1}`, recorder.ErrNotAppended},
		{"caller", "POST", "/v1/jobs", `{"Key":"x","Tasks":1,"Accelerators":1}`, recorder.ErrOutcomeUnknown},
		{"caller", "GET", "/v1/jobs/" + tooLargeID, "", nil},
		{"caller", "GET", "/v1/jobs/none", "", nil},
		{"reader", "POST", "/v1/jobs/" + jobID + "/cancel", "", nil},
		{"caller", "POST", "/v1/jobs/" + jobID + "/cancel", `{"Reason":"a mistake"}`, nil},
		{"caller", "GET", "/v1/jobs/" + jobID + "/explain", "", nil},
		{"caller", "GET", "/v1/jobs?Limit=x", "", nil},
		{"reader", "GET", "/v1/domains", "", nil},
		{"reader", "GET", "/v1/audit?Ticket=1&Limit=2", "", nil},
		{"caller", "GET", "/v1/audit", "", nil},
		{"reader", "GET", "/v1/tickets/9", "", nil},
		{"caller", "GET", "/v1/services/fit/stock/7", "", nil},
		{"operator", "GET", "/v1/services/fit/stock/7", "", nil},
		{"operator", "DELETE", "/v2/jobs", "", nil},
	}
	var out strings.Builder
	for _, step := range steps {
		c.err = step.err
		r := httptest.NewRequest(step.method, step.path, strings.NewReader(step.body))
		r.Header.Set(router.HeaderRequestID, "r-1")
		if step.token != "" {
			r.Header.Set("Authorization", "Bearer "+step.token)
		}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		fmt.Fprintf(&out, "> %s %s %s %s\n%d %s\n", step.token, step.method, step.path, step.body, w.Code, formatBody(w.Body.Bytes()))
	}
	comparer.Golden(t, "testdata/session.txt", out.String())
}

// waitTime matches the waiting time in the summary of a waiting job, which differs from
// run to run.
var waitTime = regexp.MustCompile(`The job waits, [^ ]+ after`)

// formatBody indents JSON and replaces the waiting time. Other bodies stay as they are.
func formatBody(body []byte) string {
	var out bytes.Buffer
	if json.Indent(&out, body, "", "  ") != nil {
		return string(body)
	}
	return waitTime.ReplaceAllString(strings.TrimSpace(out.String()), "The job waits, … after")
}
