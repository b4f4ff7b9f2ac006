package decider

import (
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/runner"
)

// Command is a side effect requested by Update: one of the *Cmd types in this package.
type Command any

// ProposeCmd appends entries to the ledger. Its result arrives as a ProposedMsg.
type ProposeCmd struct {
	Keys    []string
	Entries []encoder.Entry
}

// ResolveCmd passes the recorder the results of a batch that it appended.
type ResolveCmd struct {
	Sequence uint64
	Results  []reducer.Result
}

// ExchangeCmd renews a worker's leases and fetches the status of its tasks.
type ExchangeCmd struct {
	Worker  string
	Address string
	Request runner.ExchangeRequest
}

// ReserveCmd reserves resources on a worker. It must not be sent after the monotonic
// time ValidMS.
type ReserveCmd struct {
	Worker  string
	Address string
	ValidMS int64
	Request runner.ReserveRequest
}

// StartCmd starts reserved tasks. It must not be sent after the monotonic time ValidMS.
type StartCmd struct {
	Worker  string
	Address string
	ValidMS int64
	Request runner.StartRequest
}

// StopCmd stops tasks or releases a reservation.
type StopCmd struct {
	Worker  string
	Address string
	Request runner.StopRequest
}

// PublishCmd publishes a new view for request routing.
type PublishCmd struct{ View *View }

// WriteSnapshotCmd writes a snapshot. Data is the encoded state before the record at
// offset Next.
type WriteSnapshotCmd struct {
	Next uint64
	Data []byte
}

// ConfirmSnapshotCmd records that a snapshot matches this instance's own state.
type ConfirmSnapshotCmd struct {
	Next uint64
	Hash uint64
}

// AlarmCmd reports a condition that an operator should know about.
type AlarmCmd struct {
	Name   string
	Detail string
}
