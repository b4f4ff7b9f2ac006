package acceptor_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/tabulator"
)

const id = "5c0e7a21d94b36f8"

// place is the surroundings of an acceptor: all of its ports.
type place struct {
	configAge time.Duration
	tableAge  time.Duration
	views     map[string]acceptor.JobView
	// appendErrors are the results of appends in turn; then they succeed.
	appendErrors []error
	unreachable  bool
	written      []tabulator.Record
	peer         *acceptor.Answer
	holder       *acceptor.Answer
	forwarded    []acceptor.Call
}

func (p *place) Job(_ context.Context, id string) (acceptor.JobView, bool) {
	v := p.views[id]
	v.AsOf = time.Now().Add(-p.tableAge)
	return v, true
}

func (p *place) Pending(context.Context, string) (int, time.Time, bool) {
	return 3, time.Now().Add(-p.tableAge), true
}

func (p *place) Refresh() { p.tableAge = min(p.tableAge, 0) }

func (p *place) Append(_ context.Context, r tabulator.Record) error {
	if len(p.appendErrors) > 0 {
		err := p.appendErrors[0]
		p.appendErrors = p.appendErrors[1:]
		return err
	}
	p.written = append(p.written, r)
	return nil
}

func (p *place) Reachable() bool { return !p.unreachable }

func (p *place) Current() (*describer.Configuration, time.Time) {
	c := &describer.Configuration{
		Version: 1, Queues: []describer.Queue{{Name: "q", Host: "h", PathPrefix: "/p/"}, {Name: "long", Host: "h", PathPrefix: "/p/long/"}, {Name: "open", Host: "h", PathPrefix: "/open/", Public: true}},
		Workspaces: []describer.Workspace{{Name: "w", Keys: []string{"key"}}},
	}
	c.Index()
	return c, time.Now().Add(-p.configAge)
}

func (p *place) Forward(_ context.Context, c acceptor.Call, _ int) (a acceptor.Answer, ok bool) {
	p.forwarded = append(p.forwarded, c)
	if p.peer == nil {
		return a, false
	}
	return *p.peer, true
}

func (p *place) AskHolder(_ context.Context, _ acceptor.Call) (a acceptor.Answer, ok bool) {
	if p.holder == nil {
		return a, false
	}
	return *p.holder, true
}

func (p *place) Event(string, ...any) {}

func (p *place) acceptor() *acceptor.Acceptor {
	return &acceptor.Acceptor{Jobs: p, Ledger: p, Catalog: p, Peers: p, Reporter: p, ConfigFresh: 1500 * time.Millisecond, ConfigStale: 6 * time.Second, TableFresh: 1500 * time.Millisecond}
}

func call(kind acceptor.Kind, path, key string) acceptor.Call {
	c := acceptor.Call{Kind: kind, Host: "h", Path: path, Key: key, WithinMS: 3000}
	if kind == acceptor.KindSubmit {
		c.Job = &describer.Job{Steps: []describer.Step{{Count: 1}}}
	}
	return c
}

// admitted is what a peer asks that has checked the key.
func admitted() acceptor.Call {
	c := call(acceptor.KindState, "/p/"+id, "")
	c.Forwarded, c.Admitted, c.ConfigVersion = true, true, 1
	return c
}

var (
	errDoubt = errors.New("no answer")
	refused  = errors.Wrap(follower.ErrNotWritten, "busy")
)

func TestAnswer(t *testing.T) {
	running := map[string]acceptor.JobView{id: {Known: true, State: tabulator.StateRunning}}
	completed := map[string]acceptor.JobView{id: {Known: true, State: tabulator.StateCompleted}}
	told := &acceptor.Answer{Verdict: acceptor.Told, State: tabulator.StateFailed}
	accepted := &acceptor.Answer{Verdict: acceptor.Accepted}
	old := 5 * time.Second
	for _, c := range []struct {
		name    string
		place   place
		call    acceptor.Call
		want    acceptor.Verdict
		state   tabulator.State
		written int
	}{
		{"accepted", place{}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Accepted, "", 1},
		{"known already", place{views: running}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Accepted, "", 0},
		{"no such queue goes before the key", place{}, call(acceptor.KindSubmit, "/x/"+id, "nonsense"), acceptor.NoQueue, "", 0},
		{"no such key", place{}, call(acceptor.KindSubmit, "/p/"+id, "nonsense"), acceptor.NoKey, "", 0},
		{"no key at all", place{}, call(acceptor.KindState, "/p/"+id, ""), acceptor.NoKey, "", 0},
		{"a public queue", place{}, call(acceptor.KindSubmit, "/open/"+id, ""), acceptor.Accepted, "", 1},
		{"an ID that is none", place{}, call(acceptor.KindSubmit, "/p/17", "key"), acceptor.Invalid, "", 0},
		{"a job without steps", place{}, acceptor.Call{Kind: acceptor.KindSubmit, Host: "h", Path: "/p/" + id, Key: "key", Job: &describer.Job{}}, acceptor.Invalid, "", 0},
		{"a refusal is tried at a peer", place{appendErrors: []error{refused}, peer: accepted}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Accepted, "", 0},
		{"a refusal without a peer is not run", place{appendErrors: []error{refused}}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"a doubt is tried again", place{appendErrors: []error{errDoubt}}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Accepted, "", 1},
		{"a refusal after a doubt is not said to be not run", place{appendErrors: repeat(60, errDoubt, refused)}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Unknown, "", 0},
		{"an old configuration is not used", place{configAge: old, peer: accepted}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Accepted, "", 0},
		{"an old configuration without a peer", place{configAge: old}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"an old configuration tells a state if no peer has a newer one", place{configAge: old, tableAge: old, views: running}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.Told, tabulator.StateRunning, 0},
		{"a newer configuration goes first", place{configAge: old, views: running, peer: &acceptor.Answer{Verdict: acceptor.NoKey}}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.NoKey, "", 0},
		{"an old configuration and the holder", place{configAge: old, tableAge: old, views: running, holder: told}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.Told, tabulator.StateFailed, 0},
		{"an old configuration still checks the key", place{configAge: old, views: running}, call(acceptor.KindState, "/p/"+id, "nonsense"), acceptor.NoKey, "", 0},
		{"too old a configuration tells nothing", place{configAge: 7 * time.Second, views: running}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"an old configuration takes no cancellation", place{configAge: old, views: running}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"a peer that has admitted the call", place{configAge: old, views: running}, admitted(), acceptor.Told, tabulator.StateRunning, 0},
		{"a peer that asks for an unknown job", place{}, admitted(), acceptor.NotRun, "", 0},
		{"a ledger that is out of reach refuses at once", place{unreachable: true}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"a ledger that a peer reaches", place{unreachable: true, peer: accepted}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Accepted, "", 0},
		{"an unreadable ledger refuses at once", place{tableAge: old}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"state", place{views: running}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.Told, tabulator.StateRunning, 0},
		{"a live state is asked of the holder", place{views: running, holder: told}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.Told, tabulator.StateFailed, 0},
		{"a holder that doesn't know does not change the answer", place{views: running, holder: &acceptor.Answer{Verdict: acceptor.NoJob}}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.Told, tabulator.StateRunning, 0},
		{"a final state may be old", place{views: completed, tableAge: old}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.Told, tabulator.StateCompleted, 0},
		{"an old state is asked of a peer", place{views: running, tableAge: old, peer: told}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.Told, tabulator.StateFailed, 0},
		{"an old state is better than none", place{views: running, tableAge: old}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.Told, tabulator.StateRunning, 0},
		{"unknown for sure", place{}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.NoJob, "", 0},
		{"cancelled", place{views: running}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.Cancelled, "", 1},
		{"cancelled already", place{views: map[string]acceptor.JobView{id: {Known: true, Cancelled: true}}}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.Cancelled, "", 0},
		{"nothing to cancel", place{}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.NoJob, "", 0},
		{"counted", place{}, call(acceptor.KindState, "/p/", "key"), acceptor.Counted, "", 0},
		{"an old count is not told", place{tableAge: old}, call(acceptor.KindState, "/p/", "key"), acceptor.NotRun, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := c.place
				a := p.acceptor().Answer(context.Background(), c.call)
				if a.Verdict != c.want || a.State != c.state {
					t.Errorf("answer %+v, want %s %s", a, c.want, c.state)
				}
				if a.Verdict == acceptor.NotRun && a.RetryAfterMS <= 0 {
					t.Error("a refusal does not say when to come back")
				}
				if len(p.written) != c.written {
					t.Errorf("%d records written, want %d", len(p.written), c.written)
				}
			})
		})
	}
}

func repeat(n int, errs ...error) (all []error) {
	for range n {
		all = append(all, errs...)
	}
	return all
}

// TestForwardedCallStaysHere keeps peers from passing a call around.
func TestForwardedCallStaysHere(t *testing.T) {
	p := &place{configAge: time.Minute, peer: &acceptor.Answer{Verdict: acceptor.Accepted}}
	c := call(acceptor.KindSubmit, "/p/"+id, "key")
	c.Forwarded = true
	if a := p.acceptor().Answer(context.Background(), c); a.Verdict != acceptor.NotRun || len(p.forwarded) > 0 {
		t.Errorf("answer %+v after %d forwards", a, len(p.forwarded))
	}
}

// TestForwardedCallMeetsNoOlderConfiguration asks an instance whose configuration is
// older than that of the instance which passes the call on: its answer would go back
// behind what that one has already shown.
func TestForwardedCallMeetsNoOlderConfiguration(t *testing.T) {
	asking := &place{configAge: time.Minute}
	asking.acceptor().Answer(context.Background(), call(acceptor.KindSubmit, "/gone/"+id, "key"))
	if len(asking.forwarded) != 1 || asking.forwarded[0].ConfigVersion != 1 {
		t.Fatalf("forwarded calls %+v do not name the version", asking.forwarded)
	}
	c := asking.forwarded[0]
	c.Forwarded, c.ConfigVersion = true, 2
	if a := (&place{}).acceptor().Answer(context.Background(), c); a.Verdict != acceptor.NotRun {
		t.Errorf("an instance with version 1 answers %+v to a call judged by version 2", a)
	}
}

// TestSubmissionCarriesItsOrigin looks at what is stored.
func TestSubmissionCarriesItsOrigin(t *testing.T) {
	p := &place{}
	p.acceptor().Answer(context.Background(), call(acceptor.KindSubmit, "/p/long/"+id, "key"))
	s, ok := tabulator.DecodeSubmission(p.written[0])
	if !ok {
		t.Fatal("no submission was written")
	}
	got := []string{s.Job.ID, s.Job.Workspace, s.Job.Queue, s.Queue.Name}
	if diff := cmp.Diff([]string{id, "w", "long", "long"}, got); diff != "" {
		t.Errorf("origin (-want +got):\n%s", diff)
	}
}

// TestStaleConfigurationDoesNotGoBack lets a peer answer by a newer configuration and then
// be lost: the own one must not show what callers have seen replaced.
func TestStaleConfigurationDoesNotGoBack(t *testing.T) {
	p := &place{configAge: 5 * time.Second, views: map[string]acceptor.JobView{id: {Known: true, State: tabulator.StateRunning}}}
	a := p.acceptor()
	p.peer = &acceptor.Answer{Verdict: acceptor.NoKey, ConfigVersion: 2}
	if got := a.Answer(context.Background(), call(acceptor.KindState, "/p/"+id, "key")); got.Verdict != acceptor.NoKey {
		t.Fatalf("answer %+v, want that of the peer", got)
	}
	p.peer = nil
	if got := a.Answer(context.Background(), call(acceptor.KindState, "/p/"+id, "key")); got.Verdict != acceptor.NotRun {
		t.Errorf("answer %+v by version 1 after one by version 2", got)
	}
	p.configAge = 0
	if got := a.Answer(context.Background(), call(acceptor.KindState, "/p/"+id, "key")); got.Verdict != acceptor.NotRun {
		t.Errorf("answer %+v by a fresh version 1 after one by version 2", got)
	}
}

// TestAnswerNamesItsConfiguration tells peers by which version they were answered.
func TestAnswerNamesItsConfiguration(t *testing.T) {
	p := &place{}
	c := call(acceptor.KindState, "/p/"+id, "nonsense")
	c.Forwarded = true
	if got := p.acceptor().Answer(context.Background(), c); got.ConfigVersion != 1 {
		t.Errorf("answer %+v, want version 1", got)
	}
}

// TestLeavingInstanceAnswersBeforeItCloses lets a record wait for longer than a leaving
// instance stays. The caller gets an answer and not a broken connection.
func TestLeavingInstanceAnswersBeforeItCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &place{appendErrors: repeat(100, errDoubt)}
		a := p.acceptor()
		closes := time.Now().Add(1500 * time.Millisecond)
		a.CloseBy(closes)
		got := a.Answer(context.Background(), call(acceptor.KindSubmit, "/p/"+id, "key"))
		if got.Verdict != acceptor.Unknown {
			t.Errorf("answer %+v, want %s", got, acceptor.Unknown)
		}
		if left := time.Until(closes); left <= 0 {
			t.Errorf("answered %s after the connection was closed", -left)
		}
	})
}
