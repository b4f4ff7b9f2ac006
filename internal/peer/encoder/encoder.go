// Package encoder defines the inner protocol: the messages that instances send
// each other, and their binary form.
//
//	data, err := encoder.Encode(encoder.Message{Heartbeat: &encoder.Heartbeat{Name: "entry-1"}})
//	message, err := encoder.Decode(data)
package encoder

import (
	"io"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/ledger/serializer"
)

// Version is the newest version of the protocol that this build speaks.
const Version = 1

// MaxMessageBytes bounds one message. Encoded states travel as raw bytes
// after a StateReply and have a bound of their own.
const (
	MaxMessageBytes = 64 << 10
	MaxStateBytes   = 256 << 20
)

// ErrMalformed marks a message that can't be read.
var ErrMalformed = errors.New("malformed message")

// Message is one message; exactly one pointer is set. Unknown kinds and fields
// of newer versions are ignored.
type Message struct {
	Version      int
	Heartbeat    *Heartbeat    `cbor:",omitempty"`
	StateRequest *StateRequest `cbor:",omitempty"`
	StateReply   *StateReply   `cbor:",omitempty"`
}

// Heartbeat is what an instance tells the others about itself.
type Heartbeat struct {
	Name string
	// Writer names the instance's process.
	Writer  string
	Term    uint64
	Next    uint64
	Epoch   uint64
	Ready   bool
	Leaving bool
	// Drained is set by a leaving instance that has no request in flight and
	// takes no more.
	Drained bool
	// LogAgeMS is the age of the instance's fold.
	LogAgeMS int64
	// SlotsUsed counts the requests in flight for each minion with any.
	SlotsUsed map[string]int `cbor:",omitempty"`
}

// StateRequest asks for the folded state, for a start while the log is down.
type StateRequest struct{}

// StateReply precedes the encoded state.
type StateReply struct {
	Next uint64
	Hash uint64
	Size int
}

// Encode returns the binary form of m.
func Encode(m Message) (data []byte, err error) {
	m.Version = Version
	data, err = serializer.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(data) > MaxMessageBytes {
		return nil, errors.Newf("message of %d bytes exceeds %d", len(data), MaxMessageBytes)
	}
	return data, nil
}

// Decode reads what Encode wrote.
func Decode(data []byte) (m Message, err error) {
	if len(data) > MaxMessageBytes {
		return Message{}, errors.Wrapf(ErrMalformed, "%d bytes", len(data))
	}
	if err := serializer.Unmarshal(data, &m); err != nil {
		return Message{}, errors.Mark(errors.Wrap(err, "decode message"), ErrMalformed)
	}
	if m.Version < 1 {
		return Message{}, errors.Wrap(ErrMalformed, "no version")
	}
	return m, nil
}

// Read reads one message up to the end of the stream and returns its size too.
func Read(r io.Reader) (m Message, size int, err error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return Message{}, 0, errors.Wrap(err, "read message")
	}
	m, err = Decode(data)
	return m, len(data), err
}
