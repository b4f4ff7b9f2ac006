package recorder

import (
	"context"
	"time"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/appender"
)

// pageRecords bounds one read.
const pageRecords = 500

// Sink takes what the follower reads. Its calls block while the control loop
// is busy, which bounds the memory that reading takes.
type Sink interface {
	// Records takes records in offset order. sent is when the read was sent.
	Records(records []Decoded, sent time.Time, caughtUp bool)
	// Loaded takes a state that reaches beyond a gap in the ledger.
	Loaded(state *reducer.State)
	// Alarm takes conditions that an operator should know of.
	Alarm(name, detail string)
}

// Decoded is a record of the ledger, or the fault that makes it unreadable.
type Decoded struct {
	Offset uint64
	Batch  encoder.Batch
	Fault  string
}

// Loader finds a usable state, if there is one that reaches the offset.
type Loader interface {
	Load(ctx context.Context, atLeast uint64) (state *reducer.State, err error)
}

// Follower reads the ledger from an offset on.
type Follower struct {
	Log    Log
	Loader Loader
	Sink   Sink
	// Wait is how long a read waits for the next record.
	Wait time.Duration
	// Timeout bounds a read beyond its wait.
	Timeout time.Duration
}

// Run follows the ledger until the context ends.
func (f *Follower) Run(ctx context.Context, next uint64) {
	failures := 0
	for ctx.Err() == nil {
		sent := time.Now()
		page, err := f.read(ctx, next)
		if err != nil {
			sleep(ctx, Backoff(min(failures, 4)))
			failures++
			continue
		}
		failures = 0
		next = f.take(ctx, page, next, sent)
	}
}

func (f *Follower) read(ctx context.Context, next uint64) (appender.Page, error) {
	rctx, cancel := context.WithTimeout(ctx, f.Wait+f.Timeout)
	defer cancel()
	return f.Log.Read(rctx, next, pageRecords, f.Wait)
}

func (f *Follower) take(ctx context.Context, page appender.Page, next uint64, sent time.Time) uint64 {
	switch {
	case page.First > next:
		return f.bridgeGap(ctx, page, next)
	case page.Next < next:
		f.Sink.Alarm("LedgerWentBack", "the log's end lies before what was read already")
		sleep(ctx, maxBackoff)
		return next
	}
	var records []Decoded
	for _, r := range page.Records {
		if r.Offset != next {
			continue
		}
		records = append(records, decode(r))
		next++
	}
	f.Sink.Records(records, sent, next >= page.Next)
	return next
}

func decode(r appender.Record) Decoded {
	batch, err := encoder.Decode(r.Data)
	if err != nil {
		return Decoded{Offset: r.Offset, Fault: err.Error()}
	}
	return Decoded{Offset: r.Offset, Batch: batch}
}

// bridgeGap loads a snapshot when records expired before they were read.
func (f *Follower) bridgeGap(ctx context.Context, page appender.Page, next uint64) uint64 {
	state, err := f.Loader.Load(ctx, page.First)
	if err == nil && state != nil && state.Next >= page.First {
		f.Sink.Loaded(state)
		return state.Next
	}
	f.Sink.Alarm("LedgerGap", "records have expired unread and no snapshot covers them")
	sleep(ctx, maxBackoff)
	return next
}
