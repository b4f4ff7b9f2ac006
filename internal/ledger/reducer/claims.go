package reducer

import (
	"daisyhead/internal/ledger/encoder"
)

// claimRequest gives the right to send a non-idempotent request to the instance
// whose claim comes first in the ledger. An idempotency key may be claimed again
// for the same request if that request is proved not to have run.
func (s *State) claimRequest(e encoder.Entry) Result {
	c := e.RequestClaimed
	key := ClaimKey(c.Workspace, c.Key)
	old, known := s.Claims[key]
	renewed := known && old.Ended && old.Outcome == encoder.OutcomeNotRun && old.Digest == c.Digest
	if known && !renewed {
		res := refuse(RefusedRepeat, "key %q was claimed before", c.Key)
		if old.Digest != c.Digest {
			res = refuse(RefusedConflict, "key %q was used for another request", c.Key)
		}
		res.Claim = &old
		return res
	}
	s.Claims[key] = Claim{
		Workspace: c.Workspace, Key: c.Key, Holder: c.Holder, Service: c.Service,
		Digest: c.Digest, AtMS: e.At, Outcome: encoder.OutcomeUnknown,
	}
	if !known {
		s.ClaimOrder = append(s.ClaimOrder, key)
	}
	return accepted
}

// endRequest stores the outcome of a claimed request, and its response up to
// MaxStoredResponseBytes, so that repeats with the same key get the same response.
func (s *State) endRequest(writer string, e encoder.Entry) Result {
	c := e.RequestEnded
	key := ClaimKey(c.Workspace, c.Key)
	claim, ok := s.Claims[key]
	if !ok {
		return refuse(RefusedNotFound, "no claim for key %q", c.Key)
	}
	if claim.Ended {
		return Result{OK: true, Repeat: true, Claim: &claim}
	}
	if claim.Holder != writer {
		return refuse(RefusedWrongState, "the claim for key %q is held by %s", c.Key, claim.Holder)
	}
	claim.Ended, claim.Outcome, claim.Status, claim.Type = true, c.Outcome, c.Status, c.Type
	claim.Reason, claim.Truncated = c.Reason, c.Truncated
	claim.Body = c.Body
	if len(claim.Body) > MaxStoredResponseBytes {
		claim.Body, claim.Truncated = claim.Body[:MaxStoredResponseBytes], true
	}
	s.Claims[key] = claim
	return accepted
}
