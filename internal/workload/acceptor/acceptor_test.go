package acceptor_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/reducer"
)

const id = "5c0e7a21d94b36f8"

// fakeDependencies implements all interfaces that an acceptor depends on.
type fakeDependencies struct {
	configAge time.Duration
	tableAge  time.Duration
	views     map[string]acceptor.JobView
	// appendErrors are the results of the first appends, in order; later appends succeed.
	appendErrors []error
	unreachable  bool
	// cutOff is set if the table stays as it is.
	cutOff    bool
	written   []reducer.Record
	peer      *acceptor.Answer
	holder    *acceptor.Answer
	forwarded []acceptor.Call
}

func (d *fakeDependencies) Job(_ context.Context, id string) (acceptor.JobView, bool) {
	v := d.views[id]
	v.AsOf = time.Now().Add(-d.tableAge)
	return v, true
}

func (d *fakeDependencies) Pending(context.Context, string) (int, time.Time, bool) {
	return 3, time.Now().Add(-d.tableAge), true
}

func (d *fakeDependencies) Refresh() {
	if !d.cutOff {
		d.tableAge = min(d.tableAge, 0)
	}
}

func (d *fakeDependencies) Append(_ context.Context, r reducer.Record) error {
	if len(d.appendErrors) > 0 {
		err := d.appendErrors[0]
		d.appendErrors = d.appendErrors[1:]
		return err
	}
	d.written = append(d.written, r)
	return nil
}

func (d *fakeDependencies) Reachable() bool { return !d.unreachable }

func (d *fakeDependencies) Current() (*describer.Configuration, time.Time) {
	c := &describer.Configuration{
		Version: 1, Queues: []describer.Queue{{Name: "q", Host: "h", PathPrefix: "/p/"}, {Name: "long", Host: "h", PathPrefix: "/p/long/"}, {Name: "open", Host: "h", PathPrefix: "/open/", Public: true}},
		Workspaces: []describer.Workspace{{Name: "w", Keys: []string{"key"}, Maximum: describer.Resources{Accelerators: 10}}},
	}
	c.BuildIndex()
	return c, time.Now().Add(-d.configAge)
}

func (d *fakeDependencies) Forward(_ context.Context, c acceptor.Call, _ int) (a acceptor.Answer, ok bool) {
	d.forwarded = append(d.forwarded, c)
	if d.peer == nil {
		return a, false
	}
	return *d.peer, true
}

func (d *fakeDependencies) AskHolder(_ context.Context, _ acceptor.Call) (a acceptor.Answer, ok bool) {
	if d.holder == nil {
		return a, false
	}
	return *d.holder, true
}

func (d *fakeDependencies) Event(string, ...any) {}

func (d *fakeDependencies) acceptor() *acceptor.Acceptor {
	return &acceptor.Acceptor{Jobs: d, Ledger: d, Config: d, Peers: d, Reporter: d, MaxConfigAge: 1500 * time.Millisecond, MaxOutageConfigAge: 6 * time.Second, MaxTableAge: 1500 * time.Millisecond, LimitTolerance: 0.1}
}

func call(kind acceptor.Kind, path, key string) acceptor.Call {
	c := acceptor.Call{Kind: kind, Host: "h", Path: path, Key: key, WithinMS: 3000}
	if kind == acceptor.KindSubmit {
		c.Job = &describer.Job{Steps: []describer.Step{{Count: 1}}}
	}
	return c
}

// gangCall submits a gang of tasks with one accelerator each.
func gangCall(tasks int) acceptor.Call {
	c := call(acceptor.KindSubmit, "/p/"+id, "key")
	c.Job = &describer.Job{Steps: []describer.Step{{Count: tasks, Gang: true, Need: describer.Resources{Accelerators: 1}}}}
	return c
}

// admittedCall returns a call from a peer that has already checked the key.
func admittedCall() acceptor.Call {
	c := call(acceptor.KindState, "/p/"+id, "")
	c.Forwarded, c.Admitted, c.ConfigVersion = true, true, 1
	return c
}

var (
	errNoAnswer = errors.New("no answer")
	errRefused  = errors.Wrap(follower.ErrNotWritten, "busy")
)

// oversizedJob returns a valid job that no record of the ledger holds.
func oversizedJob() *describer.Job {
	return &describer.Job{Steps: []describer.Step{{Count: 1, RequireLabel: strings.Repeat("x", reducer.MaxRecordBytes)}}}
}

// submission returns a submission of one step.
func submission(s describer.Step) acceptor.Call {
	c := call(acceptor.KindSubmit, "/p/"+id, "key")
	c.Job.Steps = []describer.Step{s}
	return c
}

func TestAnswer(t *testing.T) {
	running := map[string]acceptor.JobView{id: {Known: true, State: reducer.StateRunning}}
	completed := map[string]acceptor.JobView{id: {Known: true, State: reducer.StateCompleted}}
	reported := &acceptor.Answer{Verdict: acceptor.StateReported, State: reducer.StateFailed}
	accepted := &acceptor.Answer{Verdict: acceptor.Accepted}
	own := map[string]acceptor.JobView{id: {Known: true, State: reducer.StateRunning, Workspace: "w", Queue: "q"}}
	foreign := map[string]acceptor.JobView{id: {Known: true, State: reducer.StateRunning, Workspace: "other", Queue: "q"}}
	foreignEnded := map[string]acceptor.JobView{id: {Known: true, Cancelled: true, State: reducer.StateCancelled, Workspace: "other", Queue: "q"}}
	open := map[string]acceptor.JobView{id: {Known: true, State: reducer.StateRunning, Workspace: "other", Queue: "open", Public: true}}
	old := 5 * time.Second
	for _, c := range []struct {
		name    string
		deps    fakeDependencies
		call    acceptor.Call
		want    acceptor.Verdict
		state   reducer.State
		written int
	}{
		{"accepted", fakeDependencies{}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Accepted, "", 1},
		{"submitted before", fakeDependencies{views: running}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Accepted, "", 0},
		{"a gang of the limit and its tolerance", fakeDependencies{}, gangCall(11), acceptor.Accepted, "", 1},
		{"a gang that can never fit", fakeDependencies{}, gangCall(12), acceptor.OverLimit, "", 0},
		{"a gang that was accepted under a higher limit", fakeDependencies{views: running}, gangCall(12), acceptor.Accepted, "", 0},
		{"an unknown queue is reported before an unknown key", fakeDependencies{}, call(acceptor.KindSubmit, "/x/"+id, "nonsense"), acceptor.QueueNotFound, "", 0},
		{"unknown key", fakeDependencies{}, call(acceptor.KindSubmit, "/p/"+id, "nonsense"), acceptor.InvalidKey, "", 0},
		{"no key", fakeDependencies{}, call(acceptor.KindState, "/p/"+id, ""), acceptor.InvalidKey, "", 0},
		{"a public queue needs no key", fakeDependencies{}, call(acceptor.KindSubmit, "/open/"+id, ""), acceptor.Accepted, "", 1},
		{"malformed ID", fakeDependencies{}, call(acceptor.KindSubmit, "/p/17", "key"), acceptor.Invalid, "", 0},
		{"a job without steps", fakeDependencies{}, acceptor.Call{Kind: acceptor.KindSubmit, Host: "h", Path: "/p/" + id, Key: "key", Job: &describer.Job{}}, acceptor.Invalid, "", 0},
		{"a job too large for a record", fakeDependencies{}, acceptor.Call{Kind: acceptor.KindSubmit, Host: "h", Path: "/p/" + id, Key: "key", Job: oversizedJob()}, acceptor.Invalid, "", 0},
		{"a refused append is forwarded to a peer", fakeDependencies{appendErrors: []error{errRefused}, peer: accepted}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Accepted, "", 0},
		{"a refused append and no peer", fakeDependencies{appendErrors: []error{errRefused}}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"an append without an answer is retried", fakeDependencies{appendErrors: []error{errNoAnswer}}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Accepted, "", 1},
		{"a refusal after an append without an answer is not reported as not run", fakeDependencies{appendErrors: repeat(60, errNoAnswer, errRefused)}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.OutcomeUnknown, "", 0},
		{"an outdated configuration: the call is forwarded", fakeDependencies{configAge: old, peer: accepted}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Accepted, "", 0},
		{"an outdated configuration and no peer", fakeDependencies{configAge: old}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"an outdated configuration may report a state if no peer has a newer one", fakeDependencies{configAge: old, tableAge: old, views: running}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.StateReported, reducer.StateRunning, 0},
		{"a peer's newer configuration takes precedence", fakeDependencies{configAge: old, views: running, peer: &acceptor.Answer{Verdict: acceptor.InvalidKey}}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.InvalidKey, "", 0},
		{"the holder is asked despite an outdated configuration", fakeDependencies{configAge: old, tableAge: old, views: running, holder: reported}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.StateReported, reducer.StateFailed, 0},
		{"an outdated configuration still checks the key", fakeDependencies{configAge: old, views: running}, call(acceptor.KindState, "/p/"+id, "nonsense"), acceptor.InvalidKey, "", 0},
		{"a configuration older than MaxOutageConfigAge is not used", fakeDependencies{configAge: 7 * time.Second, views: running}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"an outdated configuration accepts no cancellation", fakeDependencies{configAge: old, views: running}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"state for a peer that has admitted the call", fakeDependencies{configAge: old, views: running}, admittedCall(), acceptor.StateReported, reducer.StateRunning, 0},
		{"unknown job for a peer that has admitted the call", fakeDependencies{}, admittedCall(), acceptor.NotRun, "", 0},
		{"an unreachable ledger is not written to", fakeDependencies{unreachable: true}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"an unreachable ledger: the call is forwarded", fakeDependencies{unreachable: true, peer: accepted}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.Accepted, "", 0},
		{"an outdated table accepts no submission", fakeDependencies{tableAge: old}, call(acceptor.KindSubmit, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"state", fakeDependencies{views: running}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.StateReported, reducer.StateRunning, 0},
		{"a live state comes from the holder", fakeDependencies{views: running, holder: reported}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.StateReported, reducer.StateFailed, 0},
		{"a holder that does not know the job does not change the answer", fakeDependencies{views: running, holder: &acceptor.Answer{Verdict: acceptor.JobNotFound}}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.StateReported, reducer.StateRunning, 0},
		{"a final state may come from an outdated table", fakeDependencies{views: completed, tableAge: old}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.StateReported, reducer.StateCompleted, 0},
		{"a state in an outdated table: the call is forwarded", fakeDependencies{views: running, tableAge: old, peer: reported}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.StateReported, reducer.StateFailed, 0},
		{"an outdated state is reported if no peer answers", fakeDependencies{views: running, tableAge: old}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.StateReported, reducer.StateRunning, 0},
		{"an up-to-date table does not have the job", fakeDependencies{}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.JobNotFound, "", 0},
		{"cancelled", fakeDependencies{views: running}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.Cancelled, "", 1},
		{"cancelled before", fakeDependencies{views: map[string]acceptor.JobView{id: {Known: true, Cancelled: true}}}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.Cancelled, "", 0},
		{"cancelling an unknown job", fakeDependencies{}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.JobNotFound, "", 0},
		// A table from before the call may lack a job that another instance has accepted since.
		{"cancelling a job that an older table lacks: the call is forwarded", fakeDependencies{cutOff: true, tableAge: time.Second, peer: &acceptor.Answer{Verdict: acceptor.Cancelled}}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.Cancelled, "", 0},
		{"cancelling a job that an older table lacks, and no peer", fakeDependencies{cutOff: true, tableAge: time.Second}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"cancelling a job that no table has", fakeDependencies{cutOff: true, tableAge: time.Second, peer: &acceptor.Answer{Verdict: acceptor.JobNotFound}}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.JobNotFound, "", 0},
		{"the state of a job that an older table lacks: the call is forwarded", fakeDependencies{cutOff: true, tableAge: time.Second, peer: reported}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.StateReported, reducer.StateFailed, 0},
		{"the state of a job that an older table lacks, and no peer", fakeDependencies{cutOff: true, tableAge: time.Second}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.NotRun, "", 0},
		{"a gang whose record the store would refuse", fakeDependencies{}, submission(describer.Step{Count: 12000, Gang: true}), acceptor.Invalid, "", 0},
		{"as many single tasks", fakeDependencies{}, submission(describer.Step{Count: 12000}), acceptor.Accepted, "", 1},
		{"a large gang", fakeDependencies{}, submission(describer.Step{Count: 3000, Gang: true}), acceptor.Accepted, "", 1},
		{"the state of another workspace's job", fakeDependencies{views: foreign}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.JobNotFound, "", 0},
		{"the end of another workspace's job", fakeDependencies{views: foreignEnded}, call(acceptor.KindState, "/p/"+id, "key"), acceptor.JobNotFound, "", 0},
		{"cancelling another workspace's job", fakeDependencies{views: foreign}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.JobNotFound, "", 0},
		{"cancelling another workspace's cancelled job", fakeDependencies{views: foreignEnded}, call(acceptor.KindCancel, "/p/"+id, "key"), acceptor.JobNotFound, "", 0},
		{"a job of a private queue through a public one", fakeDependencies{views: foreign}, call(acceptor.KindState, "/open/"+id, ""), acceptor.JobNotFound, "", 0},
		{"an own job through another queue", fakeDependencies{views: own}, call(acceptor.KindState, "/p/long/"+id, "key"), acceptor.StateReported, reducer.StateRunning, 0},
		{"anyone reads a job of a public queue", fakeDependencies{views: open}, call(acceptor.KindState, "/open/"+id, ""), acceptor.StateReported, reducer.StateRunning, 0},
		{"anyone cancels a job of a public queue", fakeDependencies{views: open}, call(acceptor.KindCancel, "/open/"+id, ""), acceptor.Cancelled, "", 1},
		{"counted", fakeDependencies{}, call(acceptor.KindState, "/p/", "key"), acceptor.PendingReported, "", 0},
		{"an outdated count is not reported", fakeDependencies{tableAge: old}, call(acceptor.KindState, "/p/", "key"), acceptor.NotRun, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := c.deps
				a := d.acceptor().Answer(context.Background(), c.call)
				if a.Verdict != c.want || a.State != c.state {
					t.Errorf("answer %+v, want %s %s", a, c.want, c.state)
				}
				if a.Verdict == acceptor.NotRun && a.RetryAfterMS <= 0 {
					t.Error("NotRun without RetryAfterMS")
				}
				if len(d.written) != c.written {
					t.Errorf("%d records written, want %d", len(d.written), c.written)
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

// TestHolderRefusesJob guards against a refusal by the holder that is answered without its
// reason and Retry-After, sent on to peers, or given although an earlier attempt may have
// written the job.
func TestHolderRefusesJob(t *testing.T) {
	refused := errors.Wrap(&acceptor.Refusal{Reason: "too late", RetryAfterMS: 7000}, "the holder")
	want := acceptor.Answer{Verdict: acceptor.NotRun, Reason: "too late", RetryAfterMS: 7000, Overloaded: true}
	d := &fakeDependencies{appendErrors: []error{refused}}
	if diff := cmp.Diff(want, d.acceptor().Answer(context.Background(), call(acceptor.KindSubmit, "/p/"+id, "key"))); diff != "" || len(d.forwarded) > 0 {
		t.Errorf("%d forwards; answer (-want +got):\n%s", len(d.forwarded), diff)
	}
	d = &fakeDependencies{appendErrors: append([]error{errors.New("no answer")}, repeat(100, refused)...)}
	if a := d.acceptor().Answer(context.Background(), call(acceptor.KindSubmit, "/p/"+id, "key")); a.Verdict != acceptor.OutcomeUnknown {
		t.Errorf("answer %+v after an attempt without an answer, want OutcomeUnknown", a)
	}
}

// TestForwardedCallIsNotForwardedAgain guards against instances forwarding a call to each
// other in a loop.
func TestForwardedCallIsNotForwardedAgain(t *testing.T) {
	d := &fakeDependencies{configAge: time.Minute, peer: &acceptor.Answer{Verdict: acceptor.Accepted}}
	c := call(acceptor.KindSubmit, "/p/"+id, "key")
	c.Forwarded = true
	if a := d.acceptor().Answer(context.Background(), c); a.Verdict != acceptor.NotRun || len(d.forwarded) > 0 {
		t.Errorf("answer %+v after %d forwards", a, len(d.forwarded))
	}
}

// TestOlderConfigurationRefusesForwardedCall forwards a call to an instance whose
// configuration is older than that of the sender. An answer based on it would contradict what
// the sender's callers have already seen.
func TestOlderConfigurationRefusesForwardedCall(t *testing.T) {
	asking := &fakeDependencies{configAge: time.Minute}
	asking.acceptor().Answer(context.Background(), call(acceptor.KindSubmit, "/gone/"+id, "key"))
	if len(asking.forwarded) != 1 || asking.forwarded[0].ConfigVersion != 1 {
		t.Fatalf("forwarded calls %+v, want one with configuration version 1", asking.forwarded)
	}
	c := asking.forwarded[0]
	c.Forwarded, c.ConfigVersion = true, 2
	if a := (&fakeDependencies{}).acceptor().Answer(context.Background(), c); a.Verdict != acceptor.NotRun {
		t.Errorf("an instance with version 1 answers %+v to a call that requires version 2", a)
	}
}

// TestSubmissionRecordsWorkspaceAndQueue checks that the stored submission names its workspace
// and queue.
func TestSubmissionRecordsWorkspaceAndQueue(t *testing.T) {
	d := &fakeDependencies{}
	d.acceptor().Answer(context.Background(), call(acceptor.KindSubmit, "/p/long/"+id, "key"))
	s, ok := reducer.DecodeSubmission(d.written[0])
	if !ok {
		t.Fatal("the written record is not a submission")
	}
	got := []string{s.Job.ID, s.Job.Workspace, s.Job.Queue, s.Queue.Name}
	if diff := cmp.Diff([]string{id, "w", "long", "long"}, got); diff != "" {
		t.Errorf("submission (-want +got):\n%s", diff)
	}
}

// TestStaleConfigurationDoesNotGoBack guards against answers that go back to an older
// configuration. A peer answers using a newer configuration and then becomes unreachable; the
// instance's own older one must not be used any more, even if it is fresh.
func TestStaleConfigurationDoesNotGoBack(t *testing.T) {
	d := &fakeDependencies{configAge: 5 * time.Second, views: map[string]acceptor.JobView{id: {Known: true, State: reducer.StateRunning}}}
	a := d.acceptor()
	d.peer = &acceptor.Answer{Verdict: acceptor.InvalidKey, ConfigVersion: 2}
	if got := a.Answer(context.Background(), call(acceptor.KindState, "/p/"+id, "key")); got.Verdict != acceptor.InvalidKey {
		t.Fatalf("answer %+v, want the answer of the peer", got)
	}
	d.peer = nil
	if got := a.Answer(context.Background(), call(acceptor.KindState, "/p/"+id, "key")); got.Verdict != acceptor.NotRun {
		t.Errorf("answer %+v based on version 1 after an answer based on version 2", got)
	}
	d.configAge = 0
	if got := a.Answer(context.Background(), call(acceptor.KindState, "/p/"+id, "key")); got.Verdict != acceptor.NotRun {
		t.Errorf("answer %+v based on a fresh version 1 after an answer based on version 2", got)
	}
}

// TestAnswerNamesConfigurationVersion checks that a forwarded call's answer names the
// configuration version it is based on, even if the call is refused.
func TestAnswerNamesConfigurationVersion(t *testing.T) {
	d := &fakeDependencies{}
	c := call(acceptor.KindState, "/p/"+id, "nonsense")
	c.Forwarded = true
	if got := d.acceptor().Answer(context.Background(), c); got.ConfigVersion != 1 {
		t.Errorf("answer %+v, want version 1", got)
	}
}

// TestInstanceShuttingDownAnswersBeforeItCloses keeps the ledger from confirming a record
// until after the instance closes its connections. The caller must get an answer and not a
// broken connection.
func TestInstanceShuttingDownAnswersBeforeItCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDependencies{appendErrors: repeat(100, errNoAnswer)}
		a := d.acceptor()
		closes := time.Now().Add(1500 * time.Millisecond)
		a.CloseBy(closes)
		got := a.Answer(context.Background(), call(acceptor.KindSubmit, "/p/"+id, "key"))
		if got.Verdict != acceptor.OutcomeUnknown {
			t.Errorf("answer %+v, want %s", got, acceptor.OutcomeUnknown)
		}
		if left := time.Until(closes); left <= 0 {
			t.Errorf("answered %s after the connection was closed", -left)
		}
	})
}
