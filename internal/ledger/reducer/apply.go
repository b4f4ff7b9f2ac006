package reducer

import (
	"fmt"
	"slices"
	"strings"

	"daisyhead/internal/ledger/encoder"
)

// RefusalCode classifies why an entry was refused and had no effect.
type RefusalCode string

// The refusal codes.
const (
	// RefusedStaleTerm means that the entry's term isn't the current one, or that
	// its writer doesn't hold the term.
	RefusedStaleTerm RefusalCode = "StaleTerm"
	// RefusedConflict means that a key or a number is already used with other
	// content, or is out of sequence.
	RefusedConflict RefusalCode = "Conflict"
	// RefusedSuperseded means that a ticket with a higher number already wrote
	// one of the ticket's objects.
	RefusedSuperseded RefusalCode = "Superseded"
	RefusedInvalid    RefusalCode = "Invalid"
	RefusedNotFound   RefusalCode = "NotFound"
	// RefusedWrongState means that the job, attempt or request isn't in a state that
	// allows the change.
	RefusedWrongState RefusalCode = "WrongState"
	// RefusedRepeat means that the idempotency key was claimed before.
	RefusedRepeat RefusalCode = "Repeat"
	RefusedFull   RefusalCode = "Full"
	// RefusedGuaranteesDoNotFit means that the guarantees can't all be placed at the
	// same time.
	RefusedGuaranteesDoNotFit RefusalCode = "GuaranteesDoNotFit"
)

// Result tells a writer whether one of its entries was accepted.
type Result struct {
	OK   bool
	Code RefusalCode `json:",omitempty"`
	// Reason explains a refusal. It is empty when OK is set.
	Reason string `json:",omitempty"`
	// Repeat is set when an earlier entry already had this effect.
	Repeat bool `json:",omitempty"`
	// Claim is the existing claim when a RequestClaimed is refused or a
	// RequestEnded is repeated.
	Claim *Claim `json:",omitempty"`
	// Verdict is the result of a TicketReceived.
	Verdict *TicketResult `json:",omitempty"`
}

var accepted = Result{OK: true}

func refuse(code RefusalCode, format string, args ...any) Result {
	return Result{Code: code, Reason: fmt.Sprintf(format, args...)}
}

// Apply applies the batch that was read at offset. It returns a result for each
// entry, or nil when the batch is a duplicate and its entries were ignored.
func (s *State) Apply(offset uint64, b encoder.Batch) []Result {
	s.Next = offset + 1
	if !s.advanceWriter(offset, b) {
		return nil
	}
	results := make([]Result, len(b.Entries))
	for i, e := range b.Entries {
		s.NowMS = max(s.NowMS, e.At)
		results[i] = s.applyEntry(offset, b.Writer, e)
	}
	s.expire()
	return results
}

// Skip advances past a record that can't be decoded, and counts it.
func (s *State) Skip(offset uint64) {
	s.Next = offset + 1
	s.Skipped++
}

// advanceWriter records the batch's sequence number as its writer's latest. It
// returns false for a duplicate, whose number isn't higher than the latest.
func (s *State) advanceWriter(offset uint64, b encoder.Batch) bool {
	if b.Sequence <= s.Writers[b.Writer].Sequence {
		return false
	}
	s.Writers[b.Writer] = Writer{Sequence: b.Sequence, Offset: offset}
	if len(s.Writers) > MaxWriters {
		s.dropOldestWriters()
	}
	return true
}

// dropOldestWriters removes the quarter of the writers whose latest batches have
// the lowest offsets.
func (s *State) dropOldestWriters() {
	names := SortedKeys(s.Writers)
	slices.SortStableFunc(names, func(a, b string) int {
		return int(int64(s.Writers[a].Offset) - int64(s.Writers[b].Offset))
	})
	for _, name := range names[:len(names)/4] {
		delete(s.Writers, name)
	}
}

// applyEntry applies one entry, unless it is a decision of a writer that doesn't hold
// the current term.
func (s *State) applyEntry(offset uint64, writer string, e encoder.Entry) Result {
	if e.Term != 0 && (e.Term != s.Term || writer != s.Holder) {
		return refuse(RefusedStaleTerm, "term %d of %s, the current term is %d of %s", e.Term, writer, s.Term, s.Holder)
	}
	if e.HolderOnly() && e.Term == 0 {
		return refuse(RefusedStaleTerm, "a decision without a term")
	}
	switch {
	case e.TermClaimed != nil:
		return s.claimTerm(offset, writer, e)
	case e.TermRenewed != nil:
		return accepted
	case e.MembersChanged != nil:
		return s.changeMembers(offset, e)
	case e.TicketReceived != nil:
		return s.receiveTicket(offset, e)
	case e.RequestClaimed != nil:
		return s.claimRequest(e)
	case e.RequestEnded != nil:
		return s.endRequest(writer, e)
	case e.WorkerObserved != nil:
		return s.observeWorker(offset, e)
	case e.SnapshotPlanned != nil:
		return accepted
	case e.SnapshotWritten != nil:
		s.SnapshotNext, s.SnapshotMS = e.SnapshotWritten.Next, e.At
		return accepted
	}
	return s.applyJobEntry(offset, e)
}

// applyJobEntry applies an entry about a job or one of its attempts.
func (s *State) applyJobEntry(offset uint64, e encoder.Entry) Result {
	switch {
	case e.JobSubmitted != nil:
		return s.submitJob(offset, e)
	case e.CancelRequested != nil:
		return s.cancelJob(offset, e)
	case e.JobRefused != nil:
		return s.refuseJob(offset, e)
	case e.JobNoted != nil:
		return s.recordWaitReason(offset, e)
	case e.AttemptUnwound != nil:
		return s.recordRollback(offset, e)
	case e.AttemptCommitted != nil:
		return s.commitAttempt(offset, e)
	case e.AttemptRunning != nil:
		return s.markAttemptRunning(offset, e)
	case e.StopRequested != nil:
		return s.requestStop(offset, e)
	case e.AttemptEnded != nil:
		return s.endAttempt(offset, e)
	}
	return refuse(RefusedInvalid, "unknown kind of entry")
}

// claimTerm makes the writer the holder of the next term. Of several claims of the
// same term, the first one in the ledger wins.
func (s *State) claimTerm(offset uint64, writer string, e encoder.Entry) Result {
	c := e.TermClaimed
	if c.Term != s.Term+1 {
		return refuse(RefusedStaleTerm, "term %d does not follow %d", c.Term, s.Term)
	}
	if c.Holder != writer {
		return refuse(RefusedInvalid, "a term is claimed by its holder")
	}
	before := s.Holder
	s.Term, s.Holder, s.TermSince = c.Term, c.Holder, e.At
	s.audit(offset, e, AuditEntry{
		Actor: c.Holder, Action: "ClaimTerm", Object: "Term", Before: before,
		After: fmt.Sprintf("%s, term %d", c.Holder, c.Term), Result: "Accepted: " + c.Reason,
	})
	return accepted
}

// changeMembers replaces the members. Each change must name the next epoch, so that
// a decision based on an older set of members is refused.
func (s *State) changeMembers(offset uint64, e encoder.Entry) Result {
	c := e.MembersChanged
	if c.Epoch != s.Epoch+1 {
		return refuse(RefusedConflict, "epoch %d does not follow %d", c.Epoch, s.Epoch)
	}
	if len(c.Members) == 0 {
		return refuse(RefusedInvalid, "no members")
	}
	before := strings.Join(s.Members, " ")
	s.Epoch = c.Epoch
	s.Members = slices.Clone(c.Members)
	slices.Sort(s.Members)
	s.Members = slices.Compact(s.Members)
	s.Revision++
	s.audit(offset, e, AuditEntry{
		Actor: s.Holder, Action: "ChangeMembers", Object: "Members",
		Before: before, After: strings.Join(s.Members, " "), Result: "Accepted",
	})
	return accepted
}

// expire deletes claims that are older than ClaimRetentionMS, and the oldest claims
// and ended jobs beyond their limits.
func (s *State) expire() {
	for len(s.ClaimOrder) > 0 {
		key := s.ClaimOrder[0]
		fresh := s.Claims[key].AtMS+ClaimRetentionMS > s.NowMS
		if fresh && len(s.ClaimOrder) <= MaxClaims {
			break
		}
		delete(s.Claims, key)
		s.ClaimOrder = s.ClaimOrder[1:]
	}
	for len(s.Ended) > MaxEndedJobs {
		s.HorizonMS = max(s.HorizonMS, s.Jobs[s.Ended[0]].EndedMS)
		delete(s.Jobs, s.Ended[0])
		s.Ended = s.Ended[1:]
	}
}
