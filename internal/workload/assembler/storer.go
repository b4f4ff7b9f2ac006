package assembler

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/acceptor"
	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/scheduler"
	"daisyhead/internal/workload/tabulator"
)

// holderTimeout bounds the holder's answer before an instance writes itself: half
// of the time that callers usually have. A record that is written twice counts
// once, but on a slow platform it delays all others.
const holderTimeout = 1500 * time.Millisecond

// holderPause is the pause before the holder is looked up again.
const holderPause = 50 * time.Millisecond

// errNotHolder tells that nothing was written: the instance does not decide.
var errNotHolder = errors.Wrap(follower.ErrNotWritten, "this instance does not decide")

// errUnreadable tells that nothing was written: an instance of another version may have
// made the record.
var errUnreadable = errors.Wrap(follower.ErrNotWritten, "the holder can't read the record")

// storer writes callers' records: through the holder, which writes them
// together with its decisions, or directly if the holder is out of reach.
type storer struct {
	node   *Node
	ledger *follower.LedgerHandler

	mu      sync.Mutex
	ticket  uint64
	waiting map[uint64]chan scheduler.StoreResult
}

// Append implements acceptor.Ledger.
func (s *storer) Append(ctx context.Context, r tabulator.Record) error {
	err := s.throughHolder(ctx, r)
	if err == nil || ctx.Err() != nil {
		return err
	}
	if direct := s.node.writer.Append(ctx, r); direct != nil {
		return worse(err, direct)
	}
	return nil
}

// downAfter is how long reads of the ledger fail before nothing is written: a retry or
// two, so that a single refusal does not count.
const downAfter = 300 * time.Millisecond

// Reachable implements acceptor.Ledger.
func (s *storer) Reachable() bool { return !s.ledger.DownFor(downAfter) }

// worse keeps the doubt of two failed attempts: nothing was written only if
// both are sure of it.
func worse(a, b error) error {
	if errors.Is(b, follower.ErrNotWritten) {
		return a
	}
	return b
}

// throughHolder asks the holder. While the term changes hands it waits for the
// next one.
func (s *storer) throughHolder(ctx context.Context, r tabulator.Record) error {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	for {
		err := s.askHolder(ctx, r)
		if !errors.Is(err, errNotHolder) {
			return err
		}
		s.node.ledger.ReadNow()
		select {
		case <-ctx.Done():
			return err
		case <-time.After(holderPause):
		}
	}
}

func (s *storer) askHolder(ctx context.Context, r tabulator.Record) error {
	if s.node.status.deciding.Load() {
		return s.Store(ctx, r)
	}
	address := s.node.holderAddress(ctx)
	if address == "" {
		return errNotHolder
	}
	err := s.node.ports.Peers.Store(ctx, address, r)
	if errors.Is(err, follower.ErrNotWritten) {
		return errors.Mark(err, errNotHolder)
	}
	return err
}

// Store hands a record to this instance's control loop.
func (s *storer) Store(ctx context.Context, r tabulator.Record) error {
	ticket, answer := s.register()
	defer s.unregister(ticket)
	if !s.node.loop.Send(scheduler.StoreMsg{Ticket: ticket, Record: r}) {
		return errNotHolder
	}
	select {
	case result := <-answer:
		return storeError(result)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TakeOver passes on that the holder of a term asks this instance to follow it.
func (s *storer) TakeOver(term uint64) {
	s.node.loop.Send(scheduler.YieldMsg{Term: term})
}

// Witness hands an outcome of another instance's to the control loop.
func (s *storer) Witness(outcome tabulator.Record) bool {
	return s.node.loop.Send(scheduler.WitnessMsg{Outcome: outcome})
}

func storeError(r scheduler.StoreResult) error {
	switch r {
	case scheduler.StoreDone:
		return nil
	case scheduler.StoreNotHolder:
		return errNotHolder
	case scheduler.StoreInvalid:
		return errUnreadable
	}
	return errors.New("the term was lost while the record was written")
}

func (s *storer) register() (ticket uint64, answer chan scheduler.StoreResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = map[uint64]chan scheduler.StoreResult{}
	}
	s.ticket++
	answer = make(chan scheduler.StoreResult, 1)
	s.waiting[s.ticket] = answer
	return s.ticket, answer
}

func (s *storer) unregister(ticket uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, ticket)
}

// answer passes a StoredCmd to whoever waits for it.
func (s *storer) answer(c scheduler.StoredCmd) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w, ok := s.waiting[c.Ticket]; ok {
		w <- c.Result
		delete(s.waiting, c.Ticket)
	}
}

// holderAddress returns where the holder is, or "" if it is not known or is this
// instance.
func (n *Node) holderAddress(ctx context.Context) (address string) {
	n.loop.Inspect(ctx, func(m *scheduler.Model) { address = m.HolderAddress() })
	if address == n.settings.Peer {
		return ""
	}
	return address
}

// peers implements acceptor.Peers.
type peers struct{ node *Node }

// Forward implements acceptor.Peers.
func (p peers) Forward(ctx context.Context, c acceptor.Call, tries int) (acceptor.Answer, bool) {
	return p.node.ports.Peers.Forward(ctx, c, tries)
}

// AskHolder implements acceptor.Peers.
func (p peers) AskHolder(ctx context.Context, c acceptor.Call) (a acceptor.Answer, ok bool) {
	if p.node.status.deciding.Load() {
		return a, false
	}
	address := p.node.holderAddress(ctx)
	if address == "" {
		return a, false
	}
	return p.node.ports.Peers.Ask(ctx, address, c)
}
