// Package encoder defines the records of the ledger stream and encodes and decodes
// them.
//
// A record is a Batch of entries from one writer. Batches have a sequence number,
// so that duplicates can be ignored, and entries have the wall-clock time of their
// writer, so that they can be applied without reading a clock:
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

// Version is the format version written into each batch. Decode accepts all
// versions up to it.
const Version = 1

// MaxRecordBytes is the maximum size of an encoded record.
const MaxRecordBytes = 1 << 20

// Errors of Decode. For both of them, a reader skips the record and raises an alarm.
var (
	ErrCorrupt            = errors.New("corrupt record")
	ErrUnsupportedVersion = errors.New("record has an unsupported newer version")
)

// Encode encodes b with the current version.
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

// Decode decodes a record that was encoded by Encode.
func Decode(data []byte) (b Batch, err error) {
	if len(data) > MaxRecordBytes {
		return Batch{}, errors.Wrapf(ErrCorrupt, "record of %d bytes exceeds the limit", len(data))
	}
	if err := serializer.Unmarshal(data, &b); err != nil {
		return Batch{}, errors.Mark(errors.Wrap(err, "decode batch"), ErrCorrupt)
	}
	if b.Version > Version {
		return Batch{}, errors.Wrapf(ErrUnsupportedVersion, "version %d", b.Version)
	}
	if b.Version < 1 || b.Writer == "" {
		return Batch{}, errors.Wrap(ErrCorrupt, "batch without a version or a writer")
	}
	return b, nil
}
