package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/scheduler"
)

// holderTimeout limits the wait for the holder before an instance writes a record itself. It
// is half of the time that callers usually wait. A record that is written twice counts once,
// but on a slow platform the second write delays all others: then the instance waits on while
// the holder's process answers.
const holderTimeout = 1500 * time.Millisecond

// holderCheckInterval is the pause before a holder that has not answered is looked at again.
const holderCheckInterval = 300 * time.Millisecond

// holderRetryPause is the pause before the holder is looked up again.
const holderRetryPause = 50 * time.Millisecond

// errNotHolder means that nothing was written because the instance is not the holder.
var errNotHolder = errors.Wrap(follower.ErrNotWritten, "this instance does not decide")

// errUnreadable means that nothing was written because the holder cannot decode the record. An
// instance of another version may have encoded it.
var errUnreadable = errors.Wrap(follower.ErrNotWritten, "the holder can't read the record")

// storer writes callers' records. It sends them to the holder, which writes them together with
// its decisions, or appends them directly if the holder cannot be reached.
type storer struct {
	instance *Instance
	ledger   *follower.LedgerHandler

	mu            sync.Mutex
	lastRequestID uint64
	waiting       map[uint64]chan scheduler.StoredCmd
}

// errHolderChanged means that another instance has become the holder while the record was with
// its predecessor, which may have written it.
var errHolderChanged = errors.New("the holder has changed")

// Append implements acceptor.Ledger.
func (s *storer) Append(ctx context.Context, r reducer.Record) error {
	err := s.storeThroughHolder(ctx, r)
	var refused *acceptor.Refusal
	if err == nil || ctx.Err() != nil || errors.As(err, &refused) || s.directAppendUseless(err) || !s.ledgerAnswers(ctx) {
		return err
	}
	if directErr := s.instance.writer.Append(ctx, r); directErr != nil {
		return mergeErrors(err, directErr)
	}
	return nil
}

// directAppendUseless reports whether a direct append can't help after the given error: the
// ledger can't be reached, this instance is the holder that can't append, or the ledger is slow
// and has refused the holder.
func (s *storer) directAppendUseless(err error) bool {
	return !s.Reachable() || errors.Is(err, follower.ErrHolderCannotAppend) && (s.instance.status.holdsTerm.Load() || s.slow())
}

// ledgerAnswers reports whether a read of the ledger is answered soon. Without an answer, a
// direct append would only leave open whether the record was written.
func (s *storer) ledgerAnswers(ctx context.Context) bool {
	latency, _ := s.instance.ledger.EstimatedLatency()
	ctx, cancel := context.WithTimeout(ctx, unreachableAfter+slowCheckFactor*latency)
	defer cancel()
	return s.instance.ledger.CheckLatency(ctx) == nil
}

// slowCheckFactor times the estimated latency is added to the time limit of ledgerAnswers.
const slowCheckFactor = 3

// slow reports whether the ledger is slow for this instance.
func (s *storer) slow() bool {
	latency, known := s.instance.ledger.EstimatedLatency()
	return known && latency >= follower.SlowLatency
}

// unreachableAfter is how long reads of the ledger must fail until the ledger counts as
// unreachable. It covers one or two retries, so that a single refused read does not count.
const unreachableAfter = 300 * time.Millisecond

// Reachable implements acceptor.Ledger.
func (s *storer) Reachable() bool { return !s.ledger.DownFor(unreachableAfter) }

// mergeErrors combines the errors of two failed attempts. The result is ErrNotWritten only if
// both are, since otherwise one of them may have written the record.
func mergeErrors(a, b error) error {
	if errors.Is(b, follower.ErrNotWritten) {
		return a
	}
	return b
}

// storeThroughHolder sends the record to the holder, and again to its successor if the holder
// changes. While the record is known not to have been written, for example because the term is
// passing to another instance, it retries until holderTimeout has passed or the ledger is known
// to be unreachable. A slow ledger is no reason to give up a holder that answers.
func (s *storer) storeThroughHolder(ctx context.Context, r reducer.Record) error {
	began := time.Now()
	mayBeWritten := false
	for {
		err := s.awaitHolder(ctx, r, began)
		if err == nil {
			return nil
		}
		mayBeWritten = mayBeWritten || !errors.Is(err, follower.ErrNotWritten)
		s.instance.ledger.ReadNow()
		giveUp := !s.Reachable() || time.Since(began) >= holderTimeout && !s.slow()
		if !errors.IsAny(err, errNotHolder, errHolderChanged) || giveUp {
			return keepDoubt(err, mayBeWritten)
		}
		select {
		case <-ctx.Done():
			return keepDoubt(err, mayBeWritten)
		case <-time.After(holderRetryPause):
		}
	}
}

// keepDoubt returns err, but without its mark that nothing was written if an earlier attempt may
// have written the record.
func keepDoubt(err error, mayBeWritten bool) error {
	if mayBeWritten && errors.Is(err, follower.ErrNotWritten) {
		return errors.Newf("an earlier holder has not answered; %v", err)
	}
	return err
}

// awaitHolder makes one attempt to have the holder write the record. It gives up when the holder
// has changed, and after holderTimeout unless the ledger is slow and the holder's process answers.
func (s *storer) awaitHolder(ctx context.Context, r reducer.Record, began time.Time) error {
	holder, address := s.holder(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.tryHolder(ctx, r) }()
	ticker := time.NewTicker(holderCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
		}
		reason := error(nil)
		if now, _ := s.holder(ctx); now != holder {
			reason = errHolderChanged
		} else if time.Since(began) >= holderTimeout && !(s.slow() && s.answers(ctx, holder, address)) {
			reason = context.DeadlineExceeded
		}
		if reason == nil {
			continue
		}
		cancel()
		if err := <-done; err == nil || errors.Is(err, follower.ErrNotWritten) {
			return err
		}
		return reason
	}
}

// holder returns the name of the process that holds the term, and its address, which is empty
// if that is this process or unknown.
func (s *storer) holder(ctx context.Context) (process, address string) {
	s.instance.loop.Inspect(ctx, func(m *scheduler.Model) { process, address = m.Table.Term.Holder, m.HolderAddress() })
	if address == s.instance.settings.Peer {
		return process, ""
	}
	return process, address
}

// answers reports whether the process that holds the term answers.
func (s *storer) answers(ctx context.Context, holder, address string) bool {
	if address == "" {
		return holder == s.instance.holder && s.instance.status.holdsTerm.Load()
	}
	process, err := s.instance.deps.Peers.Process(ctx, address)
	return err == nil && process == holder
}

// tryHolder sends the record to the holder, which may be this instance, once. The error is
// errNotHolder if the holder is unknown, has changed, or is a peer that has written nothing,
// and an acceptor.Refusal if the holder has refused the record for lack of capacity.
func (s *storer) tryHolder(ctx context.Context, r reducer.Record) error {
	if s.instance.status.holdsTerm.Load() {
		return s.Store(ctx, r)
	}
	address := s.instance.holderAddress(ctx)
	if address == "" {
		return errNotHolder
	}
	err := s.instance.deps.Peers.Store(ctx, address, r)
	var refused *acceptor.Refusal
	if errors.As(err, &refused) {
		return err
	}
	if errors.Is(err, follower.ErrNotWritten) && !errors.Is(err, follower.ErrHolderCannotAppend) {
		return errors.Mark(err, errNotHolder)
	}
	return err
}

// Store passes a record to this instance's control loop and waits for the result.
func (s *storer) Store(ctx context.Context, r reducer.Record) error {
	requestID, results := s.addWaiter()
	defer s.removeWaiter(requestID)
	if !s.instance.loop.Send(scheduler.StoreMsg{RequestID: requestID, Record: r}) {
		return errNotHolder
	}
	select {
	case result := <-results:
		return storeError(result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TakeOver tells the control loop that the holder of a term asks this instance to claim the
// next one.
func (s *storer) TakeOver(term uint64) {
	s.instance.loop.Send(scheduler.YieldMsg{Term: term})
}

// Process returns the name under which this process holds a term.
func (s *storer) Process() string { return s.instance.holder }

// WriteOutcomes passes relayed outcomes to the control loop, which writes those that the
// ledger lacks. It returns false if the control loop has stopped.
func (s *storer) WriteOutcomes(outcomes []reducer.Record) bool {
	return s.instance.loop.Send(scheduler.OutcomesMsg{Outcomes: outcomes})
}

func storeError(c scheduler.StoredCmd) error {
	switch c.Result {
	case scheduler.StoreDone:
		return nil
	case scheduler.StoreNotHolder:
		return errNotHolder
	case scheduler.StoreCannotAppend:
		return follower.ErrHolderCannotAppend
	case scheduler.StoreInvalid:
		return errUnreadable
	case scheduler.StoreRefused:
		return &acceptor.Refusal{Reason: c.Reason, RetryAfterMS: c.RetryAfterMS}
	}
	return errors.New("the term was lost while the record was written")
}

// addWaiter returns a new request ID and the channel to which deliver passes its result.
func (s *storer) addWaiter() (requestID uint64, results chan scheduler.StoredCmd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = map[uint64]chan scheduler.StoredCmd{}
	}
	s.lastRequestID++
	results = make(chan scheduler.StoredCmd, 1)
	s.waiting[s.lastRequestID] = results
	return s.lastRequestID, results
}

func (s *storer) removeWaiter(requestID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, requestID)
}

// deliver passes a StoredCmd to the goroutine that waits for it.
func (s *storer) deliver(c scheduler.StoredCmd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if results, ok := s.waiting[c.RequestID]; ok {
		results <- c
		delete(s.waiting, c.RequestID)
	}
}

// holderAddress returns the holder's address, or "" if the holder is unknown or is this
// instance.
func (inst *Instance) holderAddress(ctx context.Context) (address string) {
	inst.loop.Inspect(ctx, func(m *scheduler.Model) { address = m.HolderAddress() })
	if address == inst.settings.Peer {
		return ""
	}
	return address
}

// peerCaller implements acceptor.Peers.
type peerCaller struct{ instance *Instance }

// Forward implements acceptor.Peers.
func (p peerCaller) Forward(ctx context.Context, c acceptor.Call, tries int) (acceptor.Answer, bool) {
	return p.instance.deps.Peers.Forward(ctx, c, tries)
}

// AskHolder implements acceptor.Peers.
func (p peerCaller) AskHolder(ctx context.Context, c acceptor.Call) (a acceptor.Answer, ok bool) {
	if p.instance.status.holdsTerm.Load() {
		return a, false
	}
	address := p.instance.holderAddress(ctx)
	if address == "" {
		return a, false
	}
	return p.instance.deps.Peers.Ask(ctx, address, c)
}
