package decider

import (
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	peerencoder "daisyhead/internal/peer/encoder"
	"daisyhead/internal/platform/runner"
)

// Msg is an event for Update: one of the …Msg types of this package.
type Msg any

// Instant is when a message reached the loop. The monotonic time runs from the
// start of the process; both are in milliseconds.
type Instant struct {
	MonoMS int64
	WallMS int64
}

// TickMsg lets time-driven work happen.
type TickMsg struct{}

// ReadRecord is one record read from the ledger. Fault is set when it could
// not be decoded.
type ReadRecord struct {
	Offset uint64
	Batch  encoder.Batch
	Fault  string
}

// RecordsReadMsg brings the records of one read. SentMS is the monotonic time
// when the read was sent: the fold is fresh as of then when CaughtUp is set.
type RecordsReadMsg struct {
	Records  []ReadRecord
	SentMS   int64
	CaughtUp bool
}

// StateLoadedMsg replaces the state by a snapshot that reaches further.
type StateLoadedMsg struct{ State *reducer.State }

// ConfigReadMsg brings tickets from the operators' stream.
type ConfigReadMsg struct{ Tickets []encoder.TicketReceived }

// ProposedMsg brings the results of a ProposeCmd. Err is set when they are unknown.
type ProposedMsg struct {
	Keys    []string
	Results []reducer.Result
	Err     string
}

// ExchangedMsg brings a worker's table, or the error of an ExchangeCmd.
type ExchangedMsg struct {
	Worker string
	Reply  runner.ExchangeReply
	Err    string
}

// ReservedMsg brings the answer to a ReserveCmd.
type ReservedMsg struct {
	Worker  string
	Job     string
	Attempt int
	Reply   runner.Reply
	Err     string
}

// StartedMsg brings the answer to a StartCmd.
type StartedMsg struct {
	Worker  string
	Job     string
	Attempt int
	Reply   runner.Reply
	Err     string
}

// StoppedMsg brings the answer to a StopCmd.
type StoppedMsg struct {
	Worker  string
	Job     string
	Attempt int
	Reply   runner.Reply
	Err     string
}

// PeerMsg is a heartbeat from another instance.
type PeerMsg struct{ Heartbeat peerencoder.Heartbeat }

// SnapshotDoneMsg brings the result of a SnapshotCmd.
type SnapshotDoneMsg struct {
	Next uint64
	Hash uint64
	Err  string
}

// LeaveMsg starts a graceful shutdown: nothing new is decided.
type LeaveMsg struct{}

// InspectMsg runs Read on the state in the control goroutine and then closes
// Done. Read must not keep or change the state.
type InspectMsg struct {
	Read func(*reducer.State, Liaison)
	Done chan struct{}
}
