package recorder

import (
	"context"
	"time"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/appender"
)

// pageRecords is the maximum number of records in one read.
const pageRecords = 500

// Sink receives what the follower reads. Its methods block while the control loop
// is busy, which limits how many records are held in memory.
type Sink interface {
	// HandleRecords receives records in offset order, or none if the read returned
	// none. sent is when the read was sent; caughtUp reports whether the records reach
	// the end of the ledger, so that the state with them was up to date at sent.
	HandleRecords(records []DecodedRecord, sent time.Time, caughtUp bool)
	// HandleSnapshot receives a state from a snapshot that covers a gap in the
	// ledger.
	HandleSnapshot(state *reducer.State)
	// RaiseAlarm receives a condition that an operator should know about.
	RaiseAlarm(name, detail string)
}

// DecodedRecord is a record of the ledger, or the reason why it can't be decoded.
type DecodedRecord struct {
	Offset uint64
	Batch  encoder.Batch
	// Fault is the decoding error. It is empty if Batch is valid.
	Fault string
}

// Loader loads a state from a snapshot, preferably one that includes all records
// before the offset atLeast. The state is nil if there is no snapshot.
type Loader interface {
	Load(ctx context.Context, atLeast uint64) (state *reducer.State, err error)
}

// Follower reads the ledger from an offset onwards.
type Follower struct {
	Log    Log
	Loader Loader
	Sink   Sink
	// Wait is how long the log holds a read open for the next record.
	Wait time.Duration
	// Timeout limits a read, in addition to Wait.
	Timeout time.Duration
}

// Run reads the ledger from the offset next until ctx is done.
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
		next = f.process(ctx, page, next, sent)
	}
}

// read requests the records from the offset next onwards.
func (f *Follower) read(ctx context.Context, next uint64) (appender.Page, error) {
	rctx, cancel := context.WithTimeout(ctx, f.Wait+f.Timeout)
	defer cancel()
	return f.Log.Read(rctx, next, pageRecords, f.Wait)
}

// process hands a page of records to the sink and returns the next offset to read.
func (f *Follower) process(ctx context.Context, page appender.Page, next uint64, sent time.Time) uint64 {
	switch {
	case page.First > next:
		return f.loadAfterGap(ctx, page, next)
	case page.Next < next:
		f.Sink.RaiseAlarm("LedgerWentBack", "the log ends before the offset that was already read")
		sleep(ctx, maxBackoff)
		return next
	}
	var records []DecodedRecord
	for _, r := range page.Records {
		if r.Offset != next {
			continue
		}
		records = append(records, decode(r))
		next++
	}
	f.Sink.HandleRecords(records, sent, next >= page.Next)
	return next
}

func decode(r appender.Record) DecodedRecord {
	batch, err := encoder.Decode(r.Data)
	if err != nil {
		return DecodedRecord{Offset: r.Offset, Fault: err.Error()}
	}
	return DecodedRecord{Offset: r.Offset, Batch: batch}
}

// loadAfterGap loads a snapshot in place of records that expired before they were
// read. It returns the next offset to read.
func (f *Follower) loadAfterGap(ctx context.Context, page appender.Page, next uint64) uint64 {
	state, err := f.Loader.Load(ctx, page.First)
	if err == nil && state != nil && state.Next >= page.First {
		f.Sink.HandleSnapshot(state)
		return state.Next
	}
	f.Sink.RaiseAlarm("LedgerGap", "records expired before they were read, and no snapshot covers them")
	sleep(ctx, maxBackoff)
	return next
}
