package decider

import (
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/platform/runner"
)

// Command is an effect that Update asks for: one of the …Cmd types.
type Command any

// ProposeCmd appends entries to the ledger. Its result comes as ProposedMsg.
type ProposeCmd struct {
	Keys    []string
	Entries []encoder.Entry
}

// ResolveCmd tells the recorder the results of a batch of its own.
type ResolveCmd struct {
	Sequence uint64
	Results  []reducer.Result
}

// ExchangeCmd renews a worker's leases and fetches its table.
type ExchangeCmd struct {
	Worker  string
	Address string
	Request runner.ExchangeRequest
}

// ReserveCmd holds resources on a worker. It must not be sent after ValidMS,
// monotonic time.
type ReserveCmd struct {
	Worker  string
	Address string
	ValidMS int64
	Request runner.ReserveRequest
}

// StartCmd starts reserved tasks. It must not be sent after ValidMS.
type StartCmd struct {
	Worker  string
	Address string
	ValidMS int64
	Request runner.StartRequest
}

// StopCmd stops tasks or gives a reservation back.
type StopCmd struct {
	Worker  string
	Address string
	Request runner.StopRequest
}

// PublishCmd hands traffic goroutines a new view.
type PublishCmd struct{ View *View }

// SnapshotCmd writes a snapshot. Data holds the encoded state before Next.
type SnapshotCmd struct {
	Next uint64
	Data []byte
}

// ConfirmCmd marks a snapshot as matching this instance's own fold.
type ConfirmCmd struct {
	Next uint64
	Hash uint64
}

// AlarmCmd reports a condition that an operator should know of.
type AlarmCmd struct {
	Name   string
	Detail string
}
