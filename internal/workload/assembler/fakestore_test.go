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

// fakeStore is a ledger with one partition, which handles one append at a time and refuses
// appends while more than maxBacklog is queued. An append that was accepted is executed, even if
// its sender has given up.
type fakeStore struct {
	mu       sync.Mutex
	records  []reducer.Record
	appended chan struct{}
	epoch    uint64
	sequence uint64
	// busyUntil is when the queued appends will have been executed.
	busyUntil time.Time
	// appends counts the appends that were sent.
	appends int
	// answerTime returns how long an answer takes at present, without queued appends.
	answerTime time.Duration
	calls      int
}

const (
	usualAnswerTime = 4 * time.Millisecond
	slowAnswerTime  = 370 * time.Millisecond
	maxBacklog      = 2 * time.Second
)

func newFakeStore() *fakeStore {
	return &fakeStore{appended: make(chan struct{}), answerTime: usualAnswerTime}
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
	// unanswered is silent for 3 of 10 appends, which are executed.
	unanswered
	// slow is slowAnswerTime more for each call.
	slow
)

// storeClient is an instance's access to the store. It implements follower.Ledger.
type storeClient struct {
	*fakeStore
	fault storeFault
}

func (c *storeClient) setFault(f storeFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
}

func (s *fakeStore) setAnswerTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerTime = d
}

func (s *fakeStore) appendCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

var errReset = errors.New("connection reset")

// begin applies the fault to a call, and returns how long its answer takes and whether the
// answer is lost.
func (c *storeClient) begin(ctx context.Context, isAppend bool) (answer time.Duration, lost bool, err error) {
	c.mu.Lock()
	c.calls++
	n, fault, answer := c.calls, c.fault, c.answerTime
	c.mu.Unlock()
	switch fault {
	case silent:
		<-ctx.Done()
		return 0, false, ctx.Err()
	case reset:
		return 0, false, errReset
	case refused:
		return 0, false, errors.Wrap(follower.ErrNotWritten, "status 503")
	case unanswered:
		return answer, isAppend && n%10 < 3, nil
	case slow:
		return answer + slowAnswerTime, false, nil
	}
	return answer, false, nil
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

// execute queues an append of the given term; 0 stands for none.
func (c *storeClient) execute(ctx context.Context, term, sequence uint64, records []reducer.Record) error {
	answer, lost, err := c.begin(ctx, true)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.appends++
	now := time.Now()
	if c.busyUntil.Sub(now) > maxBacklog {
		c.mu.Unlock()
		return errors.Wrap(follower.ErrNotWritten, "status 503")
	}
	done := now.Add(answer)
	if c.busyUntil.After(now) {
		done = c.busyUntil.Add(answer)
	}
	c.busyUntil = done
	c.mu.Unlock()
	result := make(chan error, 1)
	time.AfterFunc(done.Sub(now), func() { result <- c.write(term, sequence, records) })
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// write adds the records of an append, at most once for each sequence number of a term.
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

func (c *storeClient) Append(ctx context.Context, records []reducer.Record) error {
	return c.execute(ctx, 0, 0, records)
}

func (c *storeClient) AppendInTerm(ctx context.Context, term, sequence uint64, records []reducer.Record) error {
	return c.execute(ctx, term, sequence, records)
}

func (c *storeClient) ClaimTerm(ctx context.Context, term uint64, record reducer.Record) error {
	return c.execute(ctx, term, 0, []reducer.Record{record})
}

func (c *storeClient) Read(ctx context.Context, from uint64, wait time.Duration) (p follower.Page[reducer.Record], err error) {
	answer, _, err := c.begin(ctx, false)
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
			return p, ctx.Err()
		}
	}
	c.mu.Lock()
	p.Items, p.NextOffset = slices.Clone(c.records[min(from, uint64(len(c.records))):]), uint64(len(c.records))
	fault := c.fault
	c.mu.Unlock()
	if fault == silent {
		<-ctx.Done()
		return p, ctx.Err()
	}
	return p, sleep(ctx, answer-answer/2)
}

func (c *storeClient) ReadNewest(ctx context.Context, limit time.Duration) (newest []reducer.Record, next uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	answer, _, err := c.begin(ctx, false)
	if err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	latest := map[string]uint64{}
	for offset, r := range c.records {
		latest[r.Key] = uint64(offset)
	}
	for offset, r := range c.records {
		if r.Offset = uint64(offset); latest[r.Key] == r.Offset && len(r.Value) > 0 {
			newest = append(newest, r)
		}
	}
	next = uint64(len(c.records))
	c.mu.Unlock()
	return newest, next, sleep(ctx, answer)
}

func (c *storeClient) ReadPrefix(ctx context.Context, prefix string, limit time.Duration) ([]reducer.Record, error) {
	records, _, err := c.ReadNewest(ctx, limit)
	return slices.DeleteFunc(records, func(r reducer.Record) bool { return !strings.HasPrefix(r.Key, prefix) }), err
}

// fixedFeed is a feed whose records don't change. Its calls meet the same store.
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
	answer, _, err := f.store.begin(ctx, false)
	if err != nil {
		return p, err
	}
	return p, sleep(ctx, answer+wait)
}
