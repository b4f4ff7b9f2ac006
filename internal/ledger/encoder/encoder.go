// Package encoder defines the records of the ledger stream and their binary
// form.
//
// A record is a Batch of entries from one writer. Batches carry a sequence
// number, so that one that lands twice counts once, and entries carry the wall
// time of their writer, so that a fold needs no clock:
//
//	data, err := encoder.Encode(encoder.Batch{
//		Writer:   "entry-1/4f2a",
//		Sequence: 9,
//		Entries:  []encoder.Entry{{At: 1765000000000, TermClaimed: &encoder.TermClaimed{Term: 4}}},
//	})
//	batch, err := encoder.Decode(data)
package encoder

import (
	"github.com/cockroachdb/errors"

	"daisyhead/internal/ledger/serializer"
)

// Version is written into each batch. Readers take every version up to it.
const Version = 1

// MaxRecordBytes bounds one record, encoded.
const MaxRecordBytes = 1 << 20

// Errors of Decode. Both mean that the record is skipped with an alarm.
var (
	ErrCorrupt = errors.New("corrupt record")
	ErrNewer   = errors.New("record of a newer version")
)

// Encode returns the binary form of b with the current version.
func Encode(b Batch) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "encode batch")
		}
	}()
	b.Version = Version
	data, err = serializer.Marshal(b)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxRecordBytes {
		return nil, errors.Newf("%d bytes exceed %d", len(data), MaxRecordBytes)
	}
	return data, nil
}

// Decode reads what Encode wrote.
func Decode(data []byte) (b Batch, err error) {
	if len(data) > MaxRecordBytes {
		return Batch{}, errors.Wrapf(ErrCorrupt, "%d bytes", len(data))
	}
	if err := serializer.Unmarshal(data, &b); err != nil {
		return Batch{}, errors.Mark(errors.Wrap(err, "decode batch"), ErrCorrupt)
	}
	if b.Version > Version {
		return Batch{}, errors.Wrapf(ErrNewer, "version %d", b.Version)
	}
	if b.Version < 1 || b.Writer == "" {
		return Batch{}, errors.Wrap(ErrCorrupt, "not a batch")
	}
	return b, nil
}
