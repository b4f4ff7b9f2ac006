package assembler

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"

	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// LogJSON makes klog write JSON lines to w.
func LogJSON(w io.Writer, verbosity int) {
	level := slog.Level(-verbosity)
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})))
}

// logEntry logs the result of the proposed entry at index in its batch. Operators
// search for the messages and keys, so they must not change.
func (i *Instance) logEntry(e encoder.Entry, index int, results []reducer.Result, err error) {
	keys := append([]any{"Kind", entryKind(e), "Term", e.Term}, entrySubject(e)...)
	switch {
	case err != nil:
		i.logger.Info("Entry not recorded", append(keys, "Error", err.Error())...)
	case !results[index].OK:
		i.logger.Info("Entry refused", append(keys, "Code", results[index].Code, "Reason", results[index].Reason)...)
	default:
		i.logger.Info("Entry recorded", keys...)
	}
}

// entryKind returns the name of the entry's only field that is set.
func entryKind(e encoder.Entry) string {
	switch {
	case e.TermClaimed != nil:
		return "TermClaimed"
	case e.TermRenewed != nil:
		return "TermRenewed"
	case e.MembersChanged != nil:
		return "MembersChanged"
	case e.TicketReceived != nil:
		return "TicketReceived"
	case e.JobSubmitted != nil:
		return "JobSubmitted"
	case e.CancelRequested != nil:
		return "CancelRequested"
	case e.JobRefused != nil:
		return "JobRefused"
	case e.JobNoted != nil:
		return "JobNoted"
	case e.AttemptUnwound != nil:
		return "AttemptUnwound"
	case e.AttemptCommitted != nil:
		return "AttemptCommitted"
	case e.AttemptRunning != nil:
		return "AttemptRunning"
	case e.StopRequested != nil:
		return "StopRequested"
	case e.AttemptEnded != nil:
		return "AttemptEnded"
	case e.WorkerObserved != nil:
		return "WorkerObserved"
	case e.RequestClaimed != nil:
		return "RequestClaimed"
	case e.RequestEnded != nil:
		return "RequestEnded"
	case e.SnapshotPlanned != nil:
		return "SnapshotPlanned"
	case e.SnapshotWritten != nil:
		return "SnapshotWritten"
	}
	return "Unknown"
}

// entrySubject returns the log keys and values that identify the entry's subject.
func entrySubject(e encoder.Entry) []any {
	switch {
	case e.TicketReceived != nil:
		return []any{"Ticket", e.TicketReceived.Ticket.Number, "Operator", e.TicketReceived.Ticket.Operator}
	case e.JobSubmitted != nil:
		return []any{"Job", e.JobSubmitted.ID, "Workspace", e.JobSubmitted.Job.Workspace}
	case e.CancelRequested != nil:
		return []any{"Job", e.CancelRequested.ID}
	case e.JobRefused != nil:
		return []any{"Job", e.JobRefused.ID, "Reason", e.JobRefused.Reason}
	case e.JobNoted != nil:
		return []any{"Job", e.JobNoted.ID, "Reason", e.JobNoted.Reason}
	case e.AttemptUnwound != nil:
		return []any{"Job", e.AttemptUnwound.ID, "Reason", e.AttemptUnwound.Reason}
	case e.AttemptCommitted != nil:
		return []any{"Job", e.AttemptCommitted.ID, "Attempt", e.AttemptCommitted.Attempt}
	case e.AttemptRunning != nil:
		return []any{"Job", e.AttemptRunning.ID, "Attempt", e.AttemptRunning.Attempt}
	case e.StopRequested != nil:
		return []any{"Job", e.StopRequested.ID, "Attempt", e.StopRequested.Attempt, "Cause", e.StopRequested.Cause, "Reason", e.StopRequested.Reason}
	case e.AttemptEnded != nil:
		return []any{"Job", e.AttemptEnded.ID, "Attempt", e.AttemptEnded.Attempt, "Result", e.AttemptEnded.Result, "Reason", e.AttemptEnded.Reason}
	case e.WorkerObserved != nil:
		return []any{"Worker", e.WorkerObserved.Worker, "Silent", e.WorkerObserved.Silent}
	case e.RequestClaimed != nil:
		return []any{"Workspace", e.RequestClaimed.Workspace, "Key", e.RequestClaimed.Key}
	case e.RequestEnded != nil:
		return []any{"Workspace", e.RequestEnded.Workspace, "Key", e.RequestEnded.Key, "Outcome", e.RequestEnded.Outcome}
	}
	return nil
}
