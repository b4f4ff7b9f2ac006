package decider

import (
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	peerencoder "daisyhead/internal/peer/encoder"
	"daisyhead/internal/platform/runner"
)

// Msg is an event for Update: one of the *Msg types in this package.
type Msg any

// Instant is the time at which a message reached the loop, in milliseconds. MonoMS is
// monotonic and counts from the start of the process; WallMS is Unix time.
type Instant struct {
	MonoMS int64
	WallMS int64
}

// TickMsg triggers periodic work.
type TickMsg struct{}

// ReadRecord is one record read from the ledger. Fault is the error if it could not
// be decoded.
type ReadRecord struct {
	Offset uint64
	Batch  encoder.Batch
	Fault  string
}

// RecordsReadMsg delivers the records of one read. SentMS is the monotonic time at
// which the read was sent. If CaughtUp is set, the read reached the end of the ledger,
// so the state is up to date as of SentMS.
type RecordsReadMsg struct {
	Records  []ReadRecord
	SentMS   int64
	CaughtUp bool
}

// StateLoadedMsg replaces the state with a snapshot that covers more records.
type StateLoadedMsg struct{ State *reducer.State }

// ConfigReadMsg delivers tickets from the config stream, which operators write.
type ConfigReadMsg struct{ Tickets []encoder.TicketReceived }

// ProposedMsg delivers the results of a ProposeCmd. Err is set if they are unknown.
type ProposedMsg struct {
	Keys    []string
	Results []reducer.Result
	Err     string
}

// ExchangedMsg delivers the worker's reply to an ExchangeCmd, or its error.
type ExchangedMsg struct {
	Worker string
	Reply  runner.ExchangeReply
	Err    string
}

// ReservedMsg delivers the worker's reply to a ReserveCmd, or its error.
type ReservedMsg struct {
	Worker  string
	Job     string
	Attempt int
	Reply   runner.Reply
	Err     string
}

// StartedMsg delivers the worker's reply to a StartCmd, or its error.
type StartedMsg struct {
	Worker  string
	Job     string
	Attempt int
	Reply   runner.Reply
	Err     string
}

// StoppedMsg delivers the worker's reply to a StopCmd, or its error.
type StoppedMsg struct {
	Worker  string
	Job     string
	Attempt int
	Reply   runner.Reply
	Err     string
}

// HeartbeatMsg is a heartbeat from another instance.
type HeartbeatMsg struct{ Heartbeat peerencoder.Heartbeat }

// SnapshotWrittenMsg delivers the result of a WriteSnapshotCmd.
type SnapshotWrittenMsg struct {
	Next uint64
	Hash uint64
	Err  string
}

// ShutdownMsg starts a graceful shutdown: no new decisions are made.
type ShutdownMsg struct{}

// InspectMsg runs Read on the state in the control goroutine and then closes Done.
// Read must not modify the state or retain references to it.
type InspectMsg struct {
	Read func(*reducer.State, ControlStatus)
	Done chan struct{}
}
