// Package encoder defines the protocol between instances: it encodes and decodes the
// messages that they send each other.
//
//	data, err := encoder.Encode(encoder.Message{Heartbeat: &encoder.Heartbeat{Name: "entry-1"}})
//	message, err := encoder.Decode(data)
package encoder

import (
	"io"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/ledger/serializer"
)

// Version is the newest version of the protocol that this build supports.
const Version = 1

// Limits on what is received.
const (
	// MaxMessageBytes is the maximum size of an encoded message.
	MaxMessageBytes = 64 << 10
	// MaxStateBytes is the maximum size of the encoded state, which is sent as raw
	// bytes after a StateReply.
	MaxStateBytes = 256 << 20
)

// ErrMalformed marks a message that can't be decoded.
var ErrMalformed = errors.New("malformed message")

// Message is one message. Exactly one of its pointers is set. Unknown fields, and so
// unknown kinds of messages, of newer versions are ignored.
type Message struct {
	Version      int
	Heartbeat    *Heartbeat    `cbor:",omitempty"`
	StateRequest *StateRequest `cbor:",omitempty"`
	StateReply   *StateReply   `cbor:",omitempty"`
}

// Heartbeat is the status that an instance sends to the others.
type Heartbeat struct {
	// Name is the sending instance.
	Name string
	// Writer identifies the instance's process.
	Writer string
	Term   uint64
	// Next is the offset of the next ledger record that the instance will apply.
	Next  uint64
	Epoch uint64
	Ready bool
	// Leaving is set while the instance shuts down.
	Leaving bool
	// Drained is set when an instance that shuts down has no requests in flight and
	// accepts no new ones.
	Drained bool
	// LogAgeMS is how long ago the instance's control state was last known to be up to
	// date, in milliseconds.
	LogAgeMS int64
	// SlotsUsed is the number of requests in flight for each minion that has any.
	SlotsUsed map[string]int `cbor:",omitempty"`
}

// StateRequest asks for the control state, so that an instance can start while the
// log is unavailable.
type StateRequest struct{}

// StateReply describes the encoded state that follows it.
type StateReply struct {
	// Next is the offset of the first ledger record that the state doesn't include.
	Next uint64
	// Hash is the checksum of the encoded state.
	Hash uint64
	// Size is the number of bytes of the encoded state.
	Size int
}

// Encode encodes m with the current version.
func Encode(m Message) (data []byte, err error) {
	m.Version = Version
	data, err = serializer.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if len(data) > MaxMessageBytes {
		return nil, errors.Newf("message of %d bytes exceeds the limit of %d", len(data), MaxMessageBytes)
	}
	return data, nil
}

// Decode decodes a message that was encoded by Encode.
func Decode(data []byte) (m Message, err error) {
	if len(data) > MaxMessageBytes {
		return Message{}, errors.Wrapf(ErrMalformed, "%d bytes exceed the limit", len(data))
	}
	if err := serializer.Unmarshal(data, &m); err != nil {
		return Message{}, errors.Mark(errors.Wrap(err, "decode message"), ErrMalformed)
	}
	if m.Version < 1 {
		return Message{}, errors.Wrap(ErrMalformed, "no version")
	}
	return m, nil
}

// Read reads r to its end and decodes the message. It also returns the encoded size.
func Read(r io.Reader) (m Message, size int, err error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxMessageBytes+1))
	if err != nil {
		return Message{}, 0, errors.Wrap(err, "read message")
	}
	m, err = Decode(data)
	return m, len(data), err
}
