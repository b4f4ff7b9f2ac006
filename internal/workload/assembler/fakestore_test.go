package assembler_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/follower"
	"daisyhead/internal/workload/reducer"
)

const (
	usualAnswerTime = 4 * time.Millisecond
	slowAnswerTime  = 370 * time.Millisecond
	maxBacklog      = 2 * time.Second
)

// fakeStore is a ledger with one partition, which handles one append at a time and refuses
// appends while more than maxBacklog is queued. An append that was accepted is executed, even if
// its sender has given up.
type fakeStore struct {
	mu              sync.Mutex
	records         []reducer.Record
	appended        chan struct{}
	epoch, sequence uint64
	// busyUntil is when the queued appends will have been executed.
	busyUntil time.Time
	appends   int
}

func (s *fakeStore) appendCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// write adds the records of an append, at most once for each sequence number of a term. Term 0
// stands for none.
func (s *fakeStore) write(term, sequence uint64, records []reducer.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case term == 0:
	case term < s.epoch:
		return follower.ErrFenced
	case term == s.epoch && sequence <= s.sequence:
		return nil
	default:
		s.epoch, s.sequence = term, sequence
	}
	s.records = append(s.records, records...)
	close(s.appended)
	s.appended = make(chan struct{})
	return nil
}

// storeFault is what an instance's calls to the store meet.
type storeFault int

const (
	noFault storeFault = iota
	// silent calls get no answer, not even after the fault has ended.
	silent
	// reset calls fail at once.
	reset
	// refused calls are answered at once that they were not executed.
	refused
	// unanswered are 3 of 10 appends. They are executed.
	unanswered
	// slow calls keep the partition busy for slowAnswerTime.
	slow
	// distant calls are answered after slowAnswerTime, and keep the partition busy as usual.
	distant
)

// storeClient is an instance's access to the store. It implements follower.Ledger.
type storeClient struct {
	*fakeStore
	fault storeFault
	calls int
}

func (c *storeClient) setFault(f storeFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

// begin applies the fault to a call. It returns how long the store takes for it, and how much
// later the answer arrives.
func (c *storeClient) begin(ctx context.Context, isAppend bool) (answer, later time.Duration, err error) {
	c.mu.Lock()
	c.calls++
	n, fault := c.calls, c.fault
	c.mu.Unlock()
	switch fault {
	case silent:
		<-ctx.Done()
		return 0, 0, ctx.Err()
	case reset:
		return 0, 0, errors.New("connection reset")
	case refused:
		return 0, 0, errors.Wrap(follower.ErrNotWritten, "status 503")
	case slow:
		return slowAnswerTime, 0, nil
	case distant:
		return usualAnswerTime, slowAnswerTime, nil
	case unanswered:
		if isAppend && n%10 < 3 {
			return usualAnswerTime, time.Hour, nil
		}
	}
	return usualAnswerTime, 0, nil
}

// sleep waits for d and returns an error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (c *storeClient) AppendInTerm(ctx context.Context, term, sequence uint64, records []reducer.Record) error {
	answer, later, err := c.begin(ctx, true)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.appends++
	backlog := max(time.Until(c.busyUntil), 0)
	if backlog <= maxBacklog {
		c.busyUntil = time.Now().Add(backlog + answer)
	}
	c.mu.Unlock()
	if backlog > maxBacklog {
		return errors.Wrap(follower.ErrNotWritten, "status 503")
	}
	result := make(chan error, 1)
	time.AfterFunc(backlog+answer, func() { result <- c.write(term, sequence, records) })
	if err := sleep(ctx, backlog+answer+later); err != nil {
		return err
	}
	return <-result
}

func (c *storeClient) Append(ctx context.Context, records []reducer.Record) error {
	return c.AppendInTerm(ctx, 0, 0, records)
}

func (c *storeClient) ClaimTerm(ctx context.Context, term uint64, record reducer.Record) error {
	return c.AppendInTerm(ctx, term, 0, []reducer.Record{record})
}

func (c *storeClient) Read(ctx context.Context, from uint64, wait time.Duration) (p follower.Page[reducer.Record], err error) {
	answer, later, err := c.begin(ctx, false)
	if err != nil {
		return p, err
	}
	if err := sleep(ctx, answer/2); err != nil {
		return p, err
	}
	c.mu.Lock()
	appended, end := c.appended, uint64(len(c.records))
	c.mu.Unlock()
	if from >= end {
		select {
		case <-appended:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	p.Items, p.NextOffset = slices.Clone(c.records[min(from, uint64(len(c.records))):]), uint64(len(c.records))
	fault := c.fault
	c.mu.Unlock()
	if fault == silent {
		<-ctx.Done()
	}
	return p, sleep(ctx, later+answer-answer/2)
}

func (c *storeClient) ReadNewest(ctx context.Context, limit time.Duration) ([]reducer.Record, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	p, err := c.Read(ctx, 0, 0)
	for offset := range p.Items {
		p.Items[offset].Offset = uint64(offset)
	}
	return p.Items, p.NextOffset, err
}

func (c *storeClient) ReadPrefix(ctx context.Context, prefix string, limit time.Duration) ([]reducer.Record, error) {
	records, _, err := c.ReadNewest(ctx, limit)
	return slices.DeleteFunc(records, func(r reducer.Record) bool { return !strings.HasPrefix(r.Key, prefix) }), err
}

// fixedFeed is a feed whose records don't change. Its calls meet the same faults.
type fixedFeed[T any] struct {
	store *storeClient
	items []T
}

func (f fixedFeed[T]) ReadNewest(ctx context.Context, limit time.Duration) ([]T, uint64, error) {
	_, _, err := f.store.ReadNewest(ctx, limit)
	return f.items, uint64(len(f.items)), err
}

func (f fixedFeed[T]) Read(ctx context.Context, _ uint64, wait time.Duration) (p follower.Page[T], err error) {
	p.NextOffset = uint64(len(f.items))
	answer, later, err := f.store.begin(ctx, false)
	if err != nil {
		return p, err
	}
	return p, sleep(ctx, answer+wait+later)
}
