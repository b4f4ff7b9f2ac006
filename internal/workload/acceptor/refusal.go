package acceptor

import "daisyhead/internal/workload/follower"

// Refusal is the error of Ledger.Append if the holder has refused a job for lack of
// capacity. Nothing was written, and nothing will be.
type Refusal struct {
	Reason       string
	RetryAfterMS int64
}

// Error implements error.
func (r *Refusal) Error() string { return r.Reason }

// Is makes the error one of those after which nothing was written.
func (r *Refusal) Is(target error) bool { return target == follower.ErrNotWritten }
