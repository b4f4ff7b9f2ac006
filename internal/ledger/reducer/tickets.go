package reducer

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/serializer"
)

// TicketDigest returns a hash of the ticket's content, or "" if the ticket can't be
// encoded.
func TicketDigest(t specifier.Ticket) string {
	data, err := serializer.Marshal(t)
	if err != nil {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

// receiveTicket accepts or refuses a ticket and keeps the result. It ignores
// tickets whose offset was processed before.
func (s *State) receiveTicket(offset uint64, e encoder.Entry) Result {
	c := e.TicketReceived
	if c.ConfigOffset < s.ConfigNext {
		return Result{OK: true, Repeat: true}
	}
	s.ConfigNext = c.ConfigOffset + 1
	result := TicketResult{SubmissionID: c.SubmissionID, ConfigOffset: c.ConfigOffset, Number: c.Ticket.Number}
	res := refuse(RefusedInvalid, "%s", c.Fault)
	if c.Fault == "" {
		res = s.CheckTicket(c.Ticket)
	}
	result.Accepted, result.Repeat, result.Code, result.Reason = res.OK, res.Repeat, res.Code, res.Reason
	if res.OK && !res.Repeat {
		result.Warnings = s.applyTicket(offset, e)
	}
	s.Verdicts = append(s.Verdicts, result)
	if len(s.Verdicts) > MaxTicketResults {
		s.Verdicts = s.Verdicts[len(s.Verdicts)-MaxTicketResults/2:]
	}
	if !res.OK {
		s.audit(offset, e, AuditEntry{
			Actor: c.Ticket.Operator, Action: "ApplyTicket", Object: strings.Join(c.Ticket.Objects(), " "),
			Ticket: c.Ticket.Number, Result: fmt.Sprintf("Refused: %s: %s", res.Code, res.Reason),
		})
	}
	res.Verdict = &result
	return res
}

// TicketResultFor returns the result of a submission, or nil if there is none.
func (s *State) TicketResultFor(submissionID string) *TicketResult {
	for i := range s.Verdicts {
		if s.Verdicts[i].SubmissionID == submissionID {
			v := s.Verdicts[i]
			return &v
		}
	}
	return nil
}

// CheckTicket reports whether the ticket would be accepted, without applying it.
// Of two tickets for the same object, the higher number wins, in whichever order
// they arrive.
func (s *State) CheckTicket(t specifier.Ticket) Result {
	if old, ok := s.Tickets[t.Number]; ok {
		if old.Digest == TicketDigest(t) {
			return Result{OK: true, Repeat: true}
		}
		return refuse(RefusedConflict, "ticket %d of %s was accepted with other content", t.Number, old.Ticket.Operator)
	}
	if err := t.Validate(); err != nil {
		return refuse(RefusedInvalid, "%s", err.Error())
	}
	if newer := s.objectsWrittenLater(t); len(newer) > 0 {
		return refuse(RefusedSuperseded, "a higher number already wrote %s", strings.Join(newer, ", "))
	}
	return s.checkConsistency(t)
}

// objectsWrittenLater returns the ticket's objects that a ticket with a higher
// number already changed.
func (s *State) objectsWrittenLater(t specifier.Ticket) []string {
	var newer []string
	for _, name := range t.Objects() {
		if n := s.lastTicketOf(name); n > t.Number {
			newer = append(newer, fmt.Sprintf("%s (ticket %d)", name, n))
		}
	}
	return newer
}

// lastTicketOf returns the number of the ticket that last changed the object.
func (s *State) lastTicketOf(object string) uint64 {
	kind, name, _ := strings.Cut(object, "/")
	switch kind {
	case "Workspace":
		return s.Workspaces[name].Ticket
	case "Domain":
		return s.Domains[name].Ticket
	case "WorkerGroup":
		return s.WorkerGroups[name].Ticket
	case "MinionGroup":
		return s.MinionGroups[name].Ticket
	}
	return 0
}

// checkConsistency reports whether the configuration would still be consistent
// after the ticket: the domains of all groups exist, no worker or minion is in two
// groups, and all guarantees can be placed at once.
func (s *State) checkConsistency(t specifier.Ticket) Result {
	next := s.copyConfiguration()
	next.writeObjects(t, 0)
	if err := next.checkReferences(); err != nil {
		return refuse(RefusedInvalid, "%s", err.Error())
	}
	if unplaced := next.UnplacedGuarantees(false); len(unplaced) > 0 {
		return refuse(RefusedGuaranteesDoNotFit, "with every domain in service, these guarantees can't all be placed at once: %s", strings.Join(unplaced, "; "))
	}
	return accepted
}

// copyConfiguration returns a new state with the same configured objects. It shares
// Workers with s.
func (s *State) copyConfiguration() *State {
	c := New()
	c.Workers = s.Workers
	for k, v := range s.Workspaces {
		c.Workspaces[k] = v
	}
	for k, v := range s.Domains {
		c.Domains[k] = v
	}
	for k, v := range s.WorkerGroups {
		c.WorkerGroups[k] = v
	}
	for k, v := range s.MinionGroups {
		c.MinionGroups[k] = v
	}
	return c
}

// writeObjects stores each object of the ticket.
func (s *State) writeObjects(t specifier.Ticket, at int64) {
	for _, w := range t.Workspaces {
		s.Workspaces[w.Name] = Workspace{Spec: w, Ticket: t.Number}
	}
	for _, d := range t.Domains {
		since := at
		if old, ok := s.Domains[d.Name]; ok && old.Spec.State == d.State {
			since = old.SinceMS
		}
		s.Domains[d.Name] = Domain{Spec: d, Ticket: t.Number, SinceMS: since}
	}
	for _, g := range t.WorkerGroups {
		s.WorkerGroups[g.Name] = WorkerGroup{Spec: g, Ticket: t.Number}
	}
	for _, g := range t.MinionGroups {
		s.MinionGroups[g.Name] = MinionGroup{Spec: g, Ticket: t.Number}
	}
}

// checkReferences checks that the domains of all groups exist and that no worker
// or minion is in two groups.
func (s *State) checkReferences() error {
	workers := map[string]string{}
	for _, name := range SortedKeys(s.WorkerGroups) {
		g := s.WorkerGroups[name].Spec
		if _, ok := s.Domains[g.Domain]; !ok {
			return errors.Newf("WorkerGroup %q names the unknown domain %q", name, g.Domain)
		}
		for _, w := range g.Workers {
			if other, ok := workers[w.Name]; ok {
				return errors.Newf("worker %q stands in the groups %q and %q", w.Name, other, name)
			}
			workers[w.Name] = name
		}
	}
	minions := map[string]string{}
	for _, name := range SortedKeys(s.MinionGroups) {
		g := s.MinionGroups[name].Spec
		if _, ok := s.Domains[g.Domain]; !ok {
			return errors.Newf("MinionGroup %q names the unknown domain %q", name, g.Domain)
		}
		for _, m := range g.Minions {
			if other, ok := minions[m.Address]; ok {
				return errors.Newf("minion address %q stands in the groups %q and %q", m.Address, other, name)
			}
			minions[m.Address] = name
		}
	}
	return nil
}

// applyTicket applies an accepted ticket. It returns warnings about guarantees that
// can't be placed because domains are out of service.
func (s *State) applyTicket(offset uint64, e encoder.Entry) []string {
	t := e.TicketReceived.Ticket
	for _, name := range t.Objects() {
		s.audit(offset, e, AuditEntry{
			Actor: t.Operator, Action: "ApplyTicket", Object: name, Ticket: t.Number,
			Before: s.describeObject(name), After: describeTicketObject(t, name), Result: "Accepted",
		})
	}
	s.writeObjects(t, e.At)
	s.Revision++
	warnings := s.UnplacedGuarantees(true)
	for i, w := range warnings {
		warnings[i] = "short while domains are out: " + w
	}
	s.Tickets[t.Number] = TicketRecord{Ticket: t, Digest: TicketDigest(t), Offset: offset, AtMS: e.At, Warnings: warnings}
	s.addTicketEvents(offset, e, t)
	return warnings
}

// addTicketEvents adds the ticket to the history of each job with an active attempt
// in a domain whose state the ticket sets.
func (s *State) addTicketEvents(offset uint64, e encoder.Entry, t specifier.Ticket) {
	changed := map[string]specifier.DomainState{}
	for _, d := range t.Domains {
		changed[d.Name] = d.State
	}
	if len(changed) == 0 {
		return
	}
	domains := s.workerDomains()
	for _, id := range SortedKeys(s.Jobs) {
		j := s.Jobs[id]
		a := j.ActiveAttempt()
		if a == nil {
			continue
		}
		for _, p := range a.Placements {
			if state, ok := changed[domains[p.Worker]]; ok {
				j.addEvent(offset, e, "Ticket", "ticket %d of %s sets domain %s, where the job has tasks, to %s", t.Number, t.Operator, domains[p.Worker], state)
				break
			}
		}
	}
}

// describeObject summarizes a configured object for the audit trail.
func (s *State) describeObject(object string) string {
	kind, name, _ := strings.Cut(object, "/")
	switch kind {
	case "Workspace":
		if w, ok := s.Workspaces[name]; ok {
			return describeWorkspace(w.Spec)
		}
	case "Domain":
		if d, ok := s.Domains[name]; ok {
			return describeDomain(d.Spec)
		}
	case "WorkerGroup":
		if g, ok := s.WorkerGroups[name]; ok {
			return fmt.Sprintf("%d workers in %s/%s", len(g.Spec.Workers), g.Spec.Domain, g.Spec.Rack)
		}
	case "MinionGroup":
		if g, ok := s.MinionGroups[name]; ok {
			return fmt.Sprintf("%d minions in %s", len(g.Spec.Minions), g.Spec.Domain)
		}
	}
	return ""
}

// describeTicketObject summarizes an object as the ticket writes it.
func describeTicketObject(t specifier.Ticket, object string) string {
	after := New()
	after.writeObjects(t, 0)
	return after.describeObject(object)
}

func describeWorkspace(w specifier.Workspace) string {
	parts := make([]string, 0, len(w.Guarantees)+1)
	for _, g := range w.Guarantees {
		parts = append(parts, g.String())
	}
	if w.QuotaAccelerators > 0 {
		parts = append(parts, fmt.Sprintf("quota %d", w.QuotaAccelerators))
	}
	if w.Retired {
		parts = append(parts, "retired")
	}
	return strings.Join(parts, "; ")
}

func describeDomain(d specifier.Domain) string {
	if d.StopAfter > 0 {
		return fmt.Sprintf("%s, stop after %s", d.State, d.StopAfter)
	}
	return string(d.State)
}
