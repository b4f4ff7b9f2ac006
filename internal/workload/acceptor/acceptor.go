// Package acceptor answers callers: it takes jobs, tells their state and takes
// cancellations, for any job at any instance.
//
//	a := acceptor.Acceptor{Jobs: jobs, Ledger: writer, Catalog: catalog, Peers: peers}
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
	"daisyhead/internal/workload/tabulator"
)

// Jobs looks into the table of jobs.
type Jobs interface {
	Job(ctx context.Context, id string) (JobView, bool)
	Pending(ctx context.Context, queue string) (count int, asOf time.Time, ok bool)
	// Refresh asks for a read of the ledger without delay.
	Refresh()
}

// Ledger stores what callers have asked for.
type Ledger interface {
	Append(ctx context.Context, r tabulator.Record) error
	// Reachable is false while the ledger is known to be out of reach.
	Reachable() bool
}

// Catalog holds the configuration.
type Catalog interface {
	Current() (cfg *describer.Configuration, asOf time.Time)
}

// Peers pass calls on to other instances. ok is false if no peer took the
// call; the call has then had no effect.
type Peers interface {
	// Forward asks that many peers at most.
	Forward(ctx context.Context, c Call, tries int) (a Answer, ok bool)
	// AskHolder passes a call on to the instance that decides, which sees an end
	// first. ok is false if this instance decides, or the holder does not answer.
	AskHolder(ctx context.Context, c Call) (a Answer, ok bool)
}

// Reporter takes events for the log.
type Reporter interface {
	Event(name string, fields ...any)
}

// Acceptor answers calls. Its fields must be set before use.
type Acceptor struct {
	Jobs     Jobs
	Ledger   Ledger
	Catalog  Catalog
	Peers    Peers
	Reporter Reporter
	// ConfigFresh is the greatest age of a configuration that calls are
	// judged by.
	ConfigFresh time.Duration
	// ConfigStale is the greatest age of a configuration by which a job's state is told
	// when no instance has a newer one: the platform is out of reach for all.
	ConfigStale time.Duration
	// TableFresh is the greatest age of the table that may say a job is unknown.
	TableFresh time.Duration

	// shownVersion is the newest version that callers of this instance have been answered
	// by, here or at a peer.
	shownVersion atomic.Uint64
	// closesAt is when a leaving instance closes its last connection, Unix nanoseconds.
	closesAt atomic.Int64
	// aloneUntil is until when no peer is expected to have a newer configuration, Unix
	// nanoseconds.
	aloneUntil atomic.Int64
}

const (
	// answerMargin is kept for the way back to the caller.
	answerMargin = 150 * time.Millisecond
	// retryPause is the pause before an append is tried again.
	retryPause = 100 * time.Millisecond
	// outageRetryMS is the Retry-After while the platform is out of reach:
	// outages last for seconds.
	outageRetryMS = 1000
	// defaultWithinMS is how long callers wait that don't say.
	defaultWithinMS = 3000
	// refreshPoll is how often a refreshed table is looked at.
	refreshPoll = 20 * time.Millisecond
	// usualTries bounds the peers that are asked for one call, wideTries those before
	// the platform is taken to be out of reach for all.
	usualTries = 3
	wideTries  = 8
	// alonePause is the time between two searches for a peer with a newer
	// configuration: a few reads.
	alonePause = 300 * time.Millisecond
	// closeMargin is kept for the answers of a leaving instance to be written.
	closeMargin = 300 * time.Millisecond
)

// CloseBy lets each call be answered before a time at which connections are closed.
func (a *Acceptor) CloseBy(t time.Time) { a.closesAt.Store(t.UnixNano()) }

// within returns how long a call may take, in milliseconds.
func (a *Acceptor) within(ms int64) int64 {
	if ms <= 0 {
		ms = defaultWithinMS
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
	a.noteShown(answer)
	switch answer.Verdict {
	case NotRun, Unknown, Invalid:
		cfg, asOf := a.Catalog.Current()
		var version uint64
		if cfg != nil {
			version = cfg.Version
		}
		a.Reporter.Event("CallRefused", "Job", c.Path[strings.LastIndexByte(c.Path, '/')+1:], "Kind", c.Kind, "Verdict", answer.Verdict,
			"Reason", answer.Reason, "Forwarded", c.Forwarded, "TookMS", time.Since(began).Milliseconds(), "WithinMS", c.WithinMS, "ConfigVersion", version, "ConfigAgeMS", time.Since(asOf).Milliseconds())
	}
	return answer
}

func (a *Acceptor) answer(ctx context.Context, c Call) Answer {
	c.WithinMS = a.within(c.WithinMS)
	ctx, cancel := context.WithTimeout(ctx, max(time.Duration(c.WithinMS)*time.Millisecond-answerMargin, answerMargin))
	defer cancel()
	cfg, asOf := a.Catalog.Current()
	if c.Forwarded && (cfg == nil || cfg.Version < c.ConfigVersion) {
		return notRun("the configuration is older than that of the asking instance")
	}
	if cfg != nil {
		c.ConfigVersion = max(c.ConfigVersion, cfg.Version)
	}
	if c.Admitted {
		return a.known(ctx, c)
	}
	if !a.current(cfg, asOf) {
		if answer, ok := a.askWidely(ctx, c); ok {
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

// serve answers a call by a configuration.
func (a *Acceptor) serve(ctx context.Context, c Call, cfg *describer.Configuration) Answer {
	q, workspace, refusal := admit(cfg, c)
	if refusal != "" {
		return Answer{Verdict: refusal}
	}
	id := strings.TrimPrefix(c.Path, q.PathPrefix)
	switch {
	case id == "" && c.Kind == KindState:
		return a.count(ctx, c, q)
	case !validID(id):
		return Answer{Verdict: Invalid, Reason: "a job's ID has 16 hexadecimal digits"}
	case c.Kind == KindSubmit:
		return a.submit(ctx, c, q, workspace, id)
	case c.Kind == KindCancel:
		return a.cancel(ctx, c, id)
	}
	return a.state(ctx, c, id)
}

// known tells the state of a job, if it is known here, to a peer that has admitted the
// call.
func (a *Acceptor) known(ctx context.Context, c Call) Answer {
	v, ok := a.Jobs.Job(ctx, c.Path[strings.LastIndexByte(c.Path, '/')+1:])
	if !ok || !v.Known {
		return notRun("the job is not known here")
	}
	return Answer{Verdict: Told, State: v.State}
}

// idLength is the length of a job's ID in hexadecimal digits.
const idLength = 16

func validID(id string) bool {
	if len(id) != idLength {
		return false
	}
	return strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

func (a *Acceptor) submit(ctx context.Context, c Call, q describer.Queue, workspace, id string) Answer {
	if c.Job == nil {
		return Answer{Verdict: Invalid, Reason: c.Fault}
	}
	job := *c.Job
	job.ID, job.Workspace, job.Queue = id, workspace, q.Name
	if err := job.Check(); err != nil {
		return Answer{Verdict: Invalid, Reason: err.Error()}
	}
	v, ok := a.Jobs.Job(ctx, id)
	switch {
	case ok && v.Known:
		return Answer{Verdict: Accepted}
	case !ok || !a.sure(v) || !a.Ledger.Reachable():
		// A ledger that can't be read can't be expected to store the job.
		return a.forward(ctx, c, "the ledger is out of reach")
	}
	s := tabulator.Submission{Job: job, Queue: q, AcceptedMS: time.Now().UnixMilli()}
	answer := a.store(ctx, c, tabulator.SubmissionRecord(s), Accepted)
	a.Reporter.Event("JobSubmitted", "Job", id, "Queue", q.Name, "Workspace", workspace, "Verdict", answer.Verdict, "TableAgeMS", time.Since(v.AsOf).Milliseconds())
	return answer
}

func (a *Acceptor) cancel(ctx context.Context, c Call, id string) Answer {
	v := a.lookup(ctx, id)
	switch {
	case v.Known && v.Cancelled:
		return Answer{Verdict: Cancelled}
	case !v.Known && !a.sure(v):
		return a.forward(ctx, c, "the table of jobs is out of date")
	case !v.Known:
		return Answer{Verdict: NoJob}
	}
	answer := a.store(ctx, c, tabulator.CancelRecord(id, tabulator.Cancel{AtMS: time.Now().UnixMilli()}), Cancelled)
	a.Reporter.Event("JobCancelRequested", "Job", id, "Verdict", answer.Verdict, "TableAgeMS", time.Since(v.AsOf).Milliseconds())
	return answer
}

func (a *Acceptor) state(ctx context.Context, c Call, id string) Answer {
	v := a.lookup(ctx, id)
	switch {
	case v.Known && final(v.State):
		return Answer{Verdict: Told, State: v.State}
	case v.Known:
		return a.newest(ctx, c, v)
	case !a.sure(v):
		return a.forward(ctx, c, "the table of jobs is out of date")
	}
	return Answer{Verdict: NoJob}
}

// newest tells a live job's state as the holder knows it: the own table is a paced read
// behind, and callers wait for the end. Without the holder a peer may know more, and
// what was known last is better than nothing.
func (a *Acceptor) newest(ctx context.Context, c Call, v JobView) Answer {
	if !c.Forwarded {
		asked := c
		asked.Admitted = true
		if answer, ok := a.Peers.AskHolder(ctx, asked); ok && answer.Verdict == Told {
			return answer
		}
	}
	if !a.sure(v) {
		if answer := a.forward(ctx, c, "the table of jobs is out of date"); answer.Verdict != NotRun {
			return answer
		}
	}
	return Answer{Verdict: Told, State: v.State}
}

func final(s tabulator.State) bool {
	return s == tabulator.StateCompleted || s == tabulator.StateFailed || s == tabulator.StateCancelled
}

// lookup reads a job; for one that isn't known it waits for a newer table.
func (a *Acceptor) lookup(ctx context.Context, id string) JobView {
	asked := time.Now()
	for {
		v, ok := a.Jobs.Job(ctx, id)
		if v.Known || !ok || v.AsOf.After(asked) || time.Since(asked) > a.TableFresh/2 {
			return v
		}
		a.Jobs.Refresh()
		if !wait(ctx, refreshPoll) {
			return v
		}
	}
}

func (a *Acceptor) sure(v JobView) bool { return time.Since(v.AsOf) <= a.TableFresh }

func (a *Acceptor) count(ctx context.Context, c Call, q describer.Queue) Answer {
	n, asOf, ok := a.Jobs.Pending(ctx, q.Name)
	if !ok || time.Since(asOf) > a.TableFresh {
		return a.forward(ctx, c, "the table of jobs is out of date")
	}
	return Answer{Verdict: Counted, Pending: n}
}

// store appends a caller's record until it is written, a peer has written it,
// or the caller's time is over.
func (a *Acceptor) store(ctx context.Context, c Call, r tabulator.Record, done Verdict) Answer {
	maybe := false
	var last error
	for ctx.Err() == nil {
		last = a.Ledger.Append(ctx, r)
		if last == nil {
			return Answer{Verdict: done}
		}
		maybe = maybe || !errors.Is(last, follower.ErrNotWritten)
		if !c.Forwarded {
			if answer, ok := a.Peers.Forward(ctx, c, usualTries); ok && (answer.Verdict == done || !maybe) {
				return answer
			}
		}
		if !maybe {
			return notRun("the ledger can't be written: " + last.Error())
		}
		wait(ctx, retryPause)
	}
	if !maybe {
		return notRun("no time left")
	}
	return Answer{Verdict: Unknown, Reason: "the ledger has not answered"}
}

// forward lets a peer with newer knowledge answer.
func (a *Acceptor) forward(ctx context.Context, c Call, reason string) Answer {
	if !c.Forwarded {
		if answer, ok := a.Peers.Forward(ctx, c, usualTries); ok {
			return answer
		}
	}
	return notRun(reason)
}

func notRun(reason string) Answer {
	return Answer{Verdict: NotRun, RetryAfterMS: outageRetryMS, Reason: reason}
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
