// Package acceptor answers the calls of callers: it accepts job submissions, reports job states
// and accepts cancellations. Any instance can answer a call for any job.
//
//	a := acceptor.Acceptor{Jobs: jobs, Ledger: writer, Config: config, Peers: peers}
//	answer := a.Answer(ctx, acceptor.Call{Kind: acceptor.KindState, Host: host, Path: path, Key: key})
package acceptor

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/reducer"
)

// Jobs gives read access to this instance's table of jobs.
type Jobs interface {
	// Job returns the state of a job. The result is false if the table could not be read.
	Job(ctx context.Context, id string) (JobView, bool)
	// Pending returns the number of pending jobs in a queue and the time up to which the ledger
	// has been read. ok is false if the table could not be read.
	Pending(ctx context.Context, queue string) (count int, asOf time.Time, ok bool)
	// Refresh requests an immediate read of the ledger. It does not wait for it.
	Refresh()
}

// Ledger stores submissions and cancellations.
type Ledger interface {
	Append(ctx context.Context, r reducer.Record) error
	// Reachable returns false while the ledger is known to be unreachable.
	Reachable() bool
}

// ConfigSource provides the configuration in force and the time as of which it was the newest
// one.
type ConfigSource interface {
	Current() (cfg *describer.Configuration, asOf time.Time)
}

// Peers forwards calls to other instances. If ok is false, no peer answered the call and it has
// had no effect.
type Peers interface {
	// Forward sends a call to at most tries peers, one after the other, until one answers it.
	Forward(ctx context.Context, c Call, tries int) (a Answer, ok bool)
	// AskHolder forwards a call to the holder of the current term, which is the first to learn
	// that a job has ended. ok is false if this instance is the holder, or if the holder does
	// not answer.
	AskHolder(ctx context.Context, c Call) (a Answer, ok bool)
}

// Reporter writes events to the log.
type Reporter interface {
	Event(name string, fields ...any)
}

// Acceptor answers calls. Its exported fields must be set before use.
type Acceptor struct {
	Jobs     Jobs
	Ledger   Ledger
	Config   ConfigSource
	Peers    Peers
	Reporter Reporter
	// MaxConfigAge is the maximum age of a configuration that is used to answer calls.
	MaxConfigAge time.Duration
	// MaxOutageConfigAge is the maximum age of a configuration that is used to report a job's
	// state when no instance has a newer one, because the platform is unreachable for all of
	// them.
	MaxOutageConfigAge time.Duration
	// MaxTableAge is the maximum age at which the table of jobs counts as up to date. Only an
	// up-to-date table may say that a job does not exist.
	MaxTableAge time.Duration
	// LimitTolerance is the part of its limit by which a workspace may exceed it.
	LimitTolerance float64

	// MaxRecordBytes is the store's limit for one record, 0 for reducer.StoreRecordBytes.
	MaxRecordBytes int

	// servedVersion is the newest configuration version that calls to this instance have been
	// answered with, here or by a peer.
	servedVersion atomic.Uint64
	// closesAt is when an instance that is shutting down closes its last connection, in Unix
	// nanoseconds.
	closesAt atomic.Int64
	// skipSearchUntil is the time before which peers are not asked again for a newer
	// configuration, in Unix nanoseconds.
	skipSearchUntil atomic.Int64
}

const (
	// answerMargin is reserved for sending the answer to the caller.
	answerMargin = 150 * time.Millisecond
	// retryPause is the pause before an append is retried.
	retryPause = 100 * time.Millisecond
	// retryAfterMS is the Retry-After of refused calls. Outages of the platform last for
	// seconds.
	retryAfterMS = 1000
	// defaultTimeoutMS applies to calls that do not state how long they wait.
	defaultTimeoutMS = 3000
	// refreshPollInterval is how often lookup checks whether the table has been refreshed.
	refreshPollInterval = 20 * time.Millisecond
	// forwardTries is the maximum number of peers that one call is forwarded to.
	// configSearchTries is the maximum number asked for a newer configuration before the
	// platform is assumed to be unreachable for all instances.
	forwardTries      = 3
	configSearchTries = 8
	// configSearchPause is the minimum time between an unsuccessful search for a peer with a
	// newer configuration and the next search. It is long enough for a few reads of the feed
	// that brings new configurations.
	configSearchPause = 300 * time.Millisecond
	// closeMargin is reserved for writing the last answers before an instance that is shutting
	// down closes its connections.
	closeMargin = 300 * time.Millisecond
)

// CloseBy announces when connections will be closed, so that each call is answered before that
// time.
func (a *Acceptor) CloseBy(t time.Time) { a.closesAt.Store(t.UnixNano()) }

// timeoutMS returns how long a call may take, given how long its caller waits (0 if unknown).
func (a *Acceptor) timeoutMS(ms int64) int64 {
	if ms <= 0 {
		ms = defaultTimeoutMS
	}
	closes := a.closesAt.Load()
	if closes == 0 {
		return ms
	}
	left := time.Until(time.Unix(0, closes)) - closeMargin
	return min(ms, max(left, closeMargin).Milliseconds())
}

// Answer answers one call.
func (a *Acceptor) Answer(ctx context.Context, c Call) Answer {
	began := time.Now()
	answer := a.answer(ctx, c)
	a.recordServedVersion(answer)
	switch answer.Verdict {
	case NotRun, OutcomeUnknown, Invalid, OverLimit:
		cfg, asOf := a.Config.Current()
		var version uint64
		if cfg != nil {
			version = cfg.Version
		}
		a.Reporter.Event("CallRefused", "Job", c.Path[strings.LastIndexByte(c.Path, '/')+1:], "Kind", c.Kind, "Verdict", answer.Verdict,
			"Reason", answer.Reason, "Forwarded", c.Forwarded, "RetryAfterMS", answer.RetryAfterMS, "TookMS", time.Since(began).Milliseconds(), "WithinMS", c.WithinMS, "ConfigVersion", version, "ConfigAgeMS", time.Since(asOf).Milliseconds())
	}
	return answer
}

// answer checks how recent the configuration is, limits the time of the call, and has a peer
// answer it if this instance cannot.
func (a *Acceptor) answer(ctx context.Context, c Call) Answer {
	c.WithinMS = a.timeoutMS(c.WithinMS)
	ctx, cancel := context.WithTimeout(ctx, max(time.Duration(c.WithinMS)*time.Millisecond-answerMargin, answerMargin))
	defer cancel()
	cfg, asOf := a.Config.Current()
	if c.Forwarded && (cfg == nil || cfg.Version < c.ConfigVersion) {
		return notRun("the configuration is older than that of the asking instance")
	}
	if cfg != nil {
		c.ConfigVersion = max(c.ConfigVersion, cfg.Version)
	}
	if c.Admitted {
		return a.answerAdmitted(ctx, c)
	}
	if !a.usable(cfg, asOf) {
		if answer, ok := a.searchNewerConfiguration(ctx, c); ok {
			return answer
		}
		if !a.usableInOutage(cfg, asOf, c) {
			return notRun("the configuration is out of date")
		}
	}
	answer := a.serve(ctx, c, cfg)
	if answer.ConfigVersion == 0 && answer.Verdict != NotRun {
		answer.ConfigVersion = cfg.Version
	}
	return answer
}

// serve answers a call using the given configuration.
func (a *Acceptor) serve(ctx context.Context, c Call, cfg *describer.Configuration) Answer {
	q, workspace, refusal := admit(cfg, c)
	if refusal != "" {
		return Answer{Verdict: refusal}
	}
	id := strings.TrimPrefix(c.Path, q.PathPrefix)
	switch {
	case id == "" && c.Kind == KindState:
		return a.countPending(ctx, c, q)
	case !validID(id):
		return Answer{Verdict: Invalid, Reason: "a job's ID has 16 hexadecimal digits"}
	case c.Kind == KindSubmit:
		return a.submit(ctx, c, cfg, q, workspace, id)
	case c.Kind == KindCancel:
		return a.cancel(ctx, c, q, workspace, id)
	}
	return a.state(ctx, c, q, workspace, id)
}

// answerAdmitted reports the state of a job to a peer that has already checked the key. It
// refuses the call if the job is not in this instance's table.
func (a *Acceptor) answerAdmitted(ctx context.Context, c Call) Answer {
	v, ok := a.Jobs.Job(ctx, c.Path[strings.LastIndexByte(c.Path, '/')+1:])
	if !ok || !v.Known {
		return notRun("the job is not known here")
	}
	return Answer{Verdict: StateReported, State: v.State}
}

// idLength is the length of a job's ID in hexadecimal digits.
const idLength = 16

func validID(id string) bool {
	if len(id) != idLength {
		return false
	}
	return strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// submit stores a job unless it is already in the table: a caller may repeat a submission.
func (a *Acceptor) submit(ctx context.Context, c Call, cfg *describer.Configuration, q describer.Queue, workspace, id string) Answer {
	if c.Job == nil {
		return Answer{Verdict: Invalid, Reason: c.Fault}
	}
	job := *c.Job
	job.ID, job.Workspace, job.Queue = id, workspace, q.Name
	if err := job.Validate(); err != nil {
		return Answer{Verdict: Invalid, Reason: err.Error()}
	}
	v, ok := a.Jobs.Job(ctx, id)
	switch {
	case ok && v.Known:
		return Answer{Verdict: Accepted}
	case a.overLimit(cfg, job) != "":
		return Answer{Verdict: OverLimit, Reason: a.overLimit(cfg, job)}
	case !ok || !a.isFresh(v) || !a.Ledger.Reachable():
		// A ledger that cannot be read probably cannot be written either.
		return a.forward(ctx, c, "the ledger is out of reach")
	}
	record := reducer.SubmissionRecord(reducer.Submission{Job: job, Queue: q, AcceptedMS: time.Now().UnixMilli()})
	if err := a.checkSizes(job, record); err != nil {
		return Answer{Verdict: Invalid, Reason: err.Error()}
	}
	answer := a.store(ctx, c, record, Accepted)
	a.Reporter.Event("JobSubmitted", "Job", id, "Queue", q.Name, "Workspace", workspace, "Verdict", answer.Verdict, "TableAgeMS", time.Since(v.AsOf).Milliseconds())
	return answer
}

// checkSizes returns an error if the store would refuse the job's record or that of one of its
// units.
func (a *Acceptor) checkSizes(job describer.Job, record reducer.Record) error {
	limit := reducer.StoreRecordBytes
	if a.MaxRecordBytes > 0 {
		limit = min(limit, a.MaxRecordBytes)
	}
	if size := len(record.Key) + len(record.Value); record.Oversized() || size > limit {
		return errors.Newf("the record of the job has %d bytes, at most %d are allowed", size, min(limit, reducer.MaxRecordBytes))
	}
	return reducer.CheckUnitSizes(job, limit)
}

// cancel stores a cancellation, unless the job is unknown or already cancelled.
func (a *Acceptor) cancel(ctx context.Context, c Call, q describer.Queue, workspace, id string) Answer {
	asked := time.Now()
	v := a.lookup(ctx, id)
	switch {
	case v.Known && !v.visible(q, workspace):
		return Answer{Verdict: JobNotFound}
	case v.Known && v.Cancelled:
		return Answer{Verdict: Cancelled}
	case !v.Known:
		return a.unknown(ctx, c, v, asked)
	}
	answer := a.store(ctx, c, reducer.CancelRecord(id, reducer.Cancel{AtMS: time.Now().UnixMilli()}), Cancelled)
	a.Reporter.Event("JobCancelRequested", "Job", id, "Verdict", answer.Verdict, "TableAgeMS", time.Since(v.AsOf).Milliseconds())
	return answer
}

// state reports the state of a job. A final state does not change any more, so it may come from
// a table that is out of date.
func (a *Acceptor) state(ctx context.Context, c Call, q describer.Queue, workspace, id string) Answer {
	asked := time.Now()
	v := a.lookup(ctx, id)
	switch {
	case v.Known && !v.visible(q, workspace):
		return Answer{Verdict: JobNotFound}
	case v.Known && isFinal(v.State):
		return Answer{Verdict: StateReported, State: v.State}
	case v.Known:
		return a.liveState(ctx, c, v)
	}
	return a.unknown(ctx, c, v, asked)
}

// unknown answers a call for a job that the table lacks. Only a table that is newer than the
// call shows that the job had not been accepted, possibly by another instance, before the call.
func (a *Acceptor) unknown(ctx context.Context, c Call, v JobView, asked time.Time) Answer {
	if v.AsOf.After(asked) {
		return Answer{Verdict: JobNotFound}
	}
	return a.forward(ctx, c, "the table of jobs is older than the call")
}

// liveState reports the state of a job that has not ended. The holder is asked first: this
// instance's table lags by up to one read interval, and callers poll for the end of a job. If
// the holder does not answer and this instance's table is out of date, a peer is asked. If that fails
// too, the last known state is returned.
func (a *Acceptor) liveState(ctx context.Context, c Call, v JobView) Answer {
	if !c.Forwarded {
		asked := c
		asked.Admitted = true
		if answer, ok := a.Peers.AskHolder(ctx, asked); ok && answer.Verdict == StateReported {
			return answer
		}
	}
	if !a.isFresh(v) {
		if answer := a.forward(ctx, c, "the table of jobs is out of date"); answer.Verdict != NotRun {
			return answer
		}
	}
	return Answer{Verdict: StateReported, State: v.State}
}

func isFinal(s reducer.State) bool {
	return s == reducer.StateCompleted || s == reducer.StateFailed || s == reducer.StateCancelled
}

// lookup reads a job. If the job is unknown, it requests a read of the ledger and waits for a
// newer table, for at most half of MaxTableAge.
func (a *Acceptor) lookup(ctx context.Context, id string) JobView {
	asked := time.Now()
	for {
		v, ok := a.Jobs.Job(ctx, id)
		if v.Known || !ok || v.AsOf.After(asked) || time.Since(asked) > a.MaxTableAge/2 {
			return v
		}
		a.Jobs.Refresh()
		if !sleep(ctx, refreshPollInterval) {
			return v
		}
	}
}

func (a *Acceptor) isFresh(v JobView) bool { return time.Since(v.AsOf) <= a.MaxTableAge }

// countPending reports the number of pending jobs in a queue.
func (a *Acceptor) countPending(ctx context.Context, c Call, q describer.Queue) Answer {
	n, asOf, ok := a.Jobs.Pending(ctx, q.Name)
	if !ok || time.Since(asOf) > a.MaxTableAge {
		return a.forward(ctx, c, "the table of jobs is out of date")
	}
	return Answer{Verdict: PendingReported, Pending: n}
}

// store appends a caller's record and retries until this instance or a peer has written it or
// the caller's time is up. It answers NotRun only if no attempt can have written the record.
func (a *Acceptor) store(ctx context.Context, c Call, r reducer.Record, success Verdict) Answer {
	mayBeWritten := false
	var lastErr error
	for ctx.Err() == nil {
		lastErr = a.Ledger.Append(ctx, r)
		if lastErr == nil {
			return Answer{Verdict: success}
		}
		var refused *Refusal
		if errors.As(lastErr, &refused) && !mayBeWritten {
			return Answer{Verdict: NotRun, RetryAfterMS: refused.RetryAfterMS, Reason: refused.Reason, Overloaded: true}
		}
		mayBeWritten = mayBeWritten || !errors.Is(lastErr, follower.ErrNotWritten)
		if !c.Forwarded {
			if answer, ok := a.Peers.Forward(ctx, c, forwardTries); ok && (answer.Verdict == success || !mayBeWritten) {
				return answer
			}
		}
		if !mayBeWritten {
			return notRun("the ledger can't be written: " + lastErr.Error())
		}
		sleep(ctx, retryPause)
	}
	if !mayBeWritten {
		return notRun("no time left")
	}
	return Answer{Verdict: OutcomeUnknown, Reason: "the ledger has not answered"}
}

// forward lets a peer answer the call and refuses the call with the given reason if none does.
func (a *Acceptor) forward(ctx context.Context, c Call, reason string) Answer {
	if !c.Forwarded {
		if answer, ok := a.Peers.Forward(ctx, c, forwardTries); ok {
			return answer
		}
	}
	return notRun(reason)
}

func notRun(reason string) Answer {
	return Answer{Verdict: NotRun, RetryAfterMS: retryAfterMS, Reason: reason}
}

// sleep waits for the duration d. It returns false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
