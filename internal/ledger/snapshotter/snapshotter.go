// Package snapshotter writes the folded state to a stream of its own, in
// chunks with checksums, and finds the newest complete snapshot there.
//
//	hash, err := snapshotter.Write(ctx, log, next, data)
//	err = snapshotter.Confirm(ctx, log, next, hash)
//	state, err := snapshotter.Load(ctx, log, 0)
//
// A snapshot that another instance has confirmed against its own fold goes
// before newer ones that nobody has.
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

// Bounds of snapshots.
const (
	ChunkBytes = 256 << 10
	MaxChunks  = 4096
	pageChunks = 64
)

// Log is the stream that snapshots are kept on.
type Log interface {
	Append(ctx context.Context, data []byte) (offset uint64, err error)
	Read(ctx context.Context, from uint64, limit int, wait time.Duration) (appender.Page, error)
}

// Chunk is one record of the stream.
type Chunk struct {
	Version int
	// ID is the same for all chunks of one snapshot.
	ID string
	// Next is the offset of the first ledger record that the snapshot lacks.
	Next  uint64
	Index int
	Count int
	// Hash is the checksum of the whole snapshot.
	Hash uint64
	Data []byte
	// Confirmed marks a record that confirms the snapshot and holds no data.
	Confirmed bool `cbor:",omitempty"`
}

// Write appends the encoded state. A chunk that lands twice does no harm.
func Write(ctx context.Context, log Log, next uint64, data []byte) (hash uint64, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "write snapshot before offset %d", next)
		}
	}()
	hash = xxhash.Sum64(data)
	count := (len(data) + ChunkBytes - 1) / ChunkBytes
	if count > MaxChunks {
		return 0, errors.Newf("%d chunks exceed %d", count, MaxChunks)
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

// Confirm records that another instance's fold gave the same checksum.
func Confirm(ctx context.Context, log Log, next, hash uint64) (err error) {
	c := Chunk{Version: encoder.Version, ID: snapshotID(next, hash), Next: next, Count: 1, Hash: hash, Confirmed: true}
	return errors.Wrapf(appendChunk(ctx, log, c), "confirm snapshot before offset %d", next)
}

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

// Load returns the newest confirmed snapshot, or the newest one when the
// confirmed ones end before the offset atLeast, or nil when there is none.
// Broken and incomplete ones are passed over.
func Load(ctx context.Context, log Log, atLeast uint64) (state *reducer.State, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "load snapshot")
		}
	}()
	c := collector{partial: map[string][]Chunk{}, confirmed: map[string]bool{}}
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

type collector struct {
	partial   map[string][]Chunk
	confirmed map[string]bool
	// states are the complete snapshots, in the order of their offsets.
	states []loaded
}

type loaded struct {
	id    string
	state *reducer.State
}

// keepStates bounds the complete snapshots that are held while reading.
const keepStates = 4

func (c *collector) best(atLeast uint64) *reducer.State {
	for _, l := range slices.Backward(c.states) {
		if c.confirmed[l.id] && l.state.Next >= atLeast {
			return l.state
		}
	}
	if len(c.states) == 0 {
		return nil
	}
	return c.states[len(c.states)-1].state
}

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
	if slices.ContainsFunc(c.states, func(l loaded) bool { return l.state.Next >= chunk.Next }) {
		return
	}
	chunks := c.partial[chunk.ID]
	if chunks == nil {
		chunks = make([]Chunk, chunk.Count)
	}
	if chunk.Index < len(chunks) {
		chunks[chunk.Index] = chunk
	}
	c.partial[chunk.ID] = chunks
	c.complete(chunk.ID, chunks)
}

func (c *collector) complete(id string, chunks []Chunk) {
	var data []byte
	for _, chunk := range chunks {
		if chunk.Count == 0 {
			return
		}
		data = append(data, chunk.Data...)
	}
	delete(c.partial, id)
	state, err := Decode(data, chunks[0].Hash)
	if err != nil || state.Next != chunks[0].Next {
		return
	}
	c.states = append(c.states, loaded{id, state})
	if len(c.states) > keepStates {
		c.states = slices.Delete(c.states, 0, 1)
	}
}

// Decode checks and decodes an encoded state.
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
