// Package snapshotter writes snapshots of the control state to a separate stream,
// in chunks with a checksum, and loads them from there.
//
//	hash, err := snapshotter.Write(ctx, log, next, data)
//	err = snapshotter.Confirm(ctx, log, next, hash)
//	state, err := snapshotter.Load(ctx, log, 0)
//
// An instance confirms a snapshot of another instance if its own state has the same
// checksum. Load prefers confirmed snapshots to newer ones without confirmation.
package snapshotter

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/ledger/serializer"
	"daisyhead/internal/platform/appender"
)

// Limits of snapshots.
const (
	// ChunkBytes is the maximum size of the data in a chunk.
	ChunkBytes = 256 << 10
	// MaxChunks is the maximum number of chunks in a snapshot.
	MaxChunks = 4096
	// pageChunks is the maximum number of chunks in one read.
	pageChunks = 64
)

// Log is the stream that stores the snapshots.
type Log interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (appender.Page, error)
}

// Chunk is one record of the stream: a part of a snapshot, or its confirmation.
type Chunk struct {
	Version int
	// ID is the same for all chunks of one snapshot.
	ID string
	// Next is the offset of the first ledger record that the snapshot doesn't
	// include.
	Next  uint64
	Index int
	// Count is the number of chunks of the snapshot.
	Count int
	// Hash is the checksum of the whole snapshot.
	Hash uint64
	Data []byte
	// Confirmed marks a confirmation of the snapshot, which has no data.
	Confirmed bool `cbor:",omitempty"`
}

// Write appends the encoded state, which includes all records before offset next.
// A failed append is retried, so chunks may be stored twice; Load tolerates that.
func Write(ctx context.Context, log Log, next uint64, data []byte) (hash uint64, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "write snapshot before offset %d", next)
		}
	}()
	hash = xxhash.Sum64(data)
	count := (len(data) + ChunkBytes - 1) / ChunkBytes
	if count > MaxChunks {
		return 0, errors.Newf("%d chunks exceed the limit of %d", count, MaxChunks)
	}
	id := snapshotID(next, hash)
	for i := range count {
		end := min((i+1)*ChunkBytes, len(data))
		chunk := Chunk{Version: encoder.Version, ID: id, Next: next, Index: i, Count: count, Hash: hash, Data: data[i*ChunkBytes : end]}
		if err := appendChunk(ctx, log, chunk); err != nil {
			return 0, err
		}
	}
	return hash, nil
}

func snapshotID(next, hash uint64) string { return fmt.Sprintf("%d-%x", next, hash) }

// Confirm records that an instance other than the snapshot's writer computed the same
// checksum for its own state.
func Confirm(ctx context.Context, log Log, next, hash uint64) (err error) {
	c := Chunk{Version: encoder.Version, ID: snapshotID(next, hash), Next: next, Count: 1, Hash: hash, Confirmed: true}
	return errors.Wrapf(appendChunk(ctx, log, c), "confirm snapshot before offset %d", next)
}

// appendChunk appends the chunk and retries until it succeeds or ctx is done.
func appendChunk(ctx context.Context, log Log, c Chunk) error {
	record, err := serializer.Marshal(c)
	if err != nil {
		return err
	}
	for {
		actx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, err = log.Append(actx, record)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// Load returns the newest confirmed snapshot that includes all records before the
// offset atLeast. Without one, it returns the newest snapshot, which may reach less
// far, or nil if there is none. Corrupt and incomplete snapshots are ignored.
func Load(ctx context.Context, log Log, atLeast uint64) (state *reducer.State, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "load snapshot")
		}
	}()
	c := collector{incomplete: map[string][]Chunk{}, confirmed: map[string]bool{}}
	from := uint64(0)
	for {
		page, err := log.Read(ctx, from, pageChunks, 0)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			c.add(r.Data)
			from = r.Offset + 1
		}
		if from < page.First {
			from = page.First
		}
		if from >= page.Next {
			return c.best(atLeast), nil
		}
	}
}

// collector assembles snapshots from the records of the stream.
type collector struct {
	// incomplete holds the chunks of unfinished snapshots by ID.
	incomplete map[string][]Chunk
	confirmed  map[string]bool
	// states are the complete snapshots, in ascending order of Next.
	states []snapshot
}

type snapshot struct {
	id    string
	state *reducer.State
}

// maxHeldStates is the maximum number of complete snapshots that Load holds in
// memory.
const maxHeldStates = 4

// best returns the newest confirmed state that includes all records before the offset
// atLeast, or else the newest state, or nil if there is none.
func (c *collector) best(atLeast uint64) *reducer.State {
	for _, s := range slices.Backward(c.states) {
		if c.confirmed[s.id] && s.state.Next >= atLeast {
			return s.state
		}
	}
	if len(c.states) == 0 {
		return nil
	}
	return c.states[len(c.states)-1].state
}

// add adds a record of the stream. It ignores records that are not valid chunks, and
// chunks of snapshots that are not newer than a complete one.
func (c *collector) add(record []byte) {
	var chunk Chunk
	if serializer.Unmarshal(record, &chunk) != nil || chunk.Version < 1 || chunk.Version > encoder.Version {
		return
	}
	if chunk.Count < 1 || chunk.Count > MaxChunks || chunk.Index < 0 || chunk.Index >= chunk.Count {
		return
	}
	if chunk.Confirmed {
		c.confirmed[chunk.ID] = true
		return
	}
	if slices.ContainsFunc(c.states, func(s snapshot) bool { return s.state.Next >= chunk.Next }) {
		return
	}
	chunks := c.incomplete[chunk.ID]
	if chunks == nil {
		chunks = make([]Chunk, chunk.Count)
	}
	if chunk.Index < len(chunks) {
		chunks[chunk.Index] = chunk
	}
	c.incomplete[chunk.ID] = chunks
	c.assemble(chunk.ID, chunks)
}

// assemble decodes the snapshot if all of its chunks are present, and drops it if it
// is corrupt.
func (c *collector) assemble(id string, chunks []Chunk) {
	var data []byte
	for _, chunk := range chunks {
		if chunk.Count == 0 { // missing
			return
		}
		data = append(data, chunk.Data...)
	}
	delete(c.incomplete, id)
	state, err := Decode(data, chunks[0].Hash)
	if err != nil || state.Next != chunks[0].Next {
		return
	}
	c.states = append(c.states, snapshot{id, state})
	if len(c.states) > maxHeldStates {
		c.states = slices.Delete(c.states, 0, 1)
	}
}

// Decode verifies the checksum of an encoded state and decodes it.
func Decode(data []byte, hash uint64) (*reducer.State, error) {
	if xxhash.Sum64(data) != hash {
		return nil, errors.New("the checksum does not match")
	}
	state := reducer.New()
	if err := serializer.Unmarshal(data, state); err != nil {
		return nil, err
	}
	return state, nil
}
