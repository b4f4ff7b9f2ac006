package presenter

import (
	"slices"
	"strings"
	"time"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/reducer"
)

// Ticket describes an accepted ticket and which instances have applied it.
type Ticket struct {
	Number   uint64
	Operator string
	Comment  string `json:",omitempty"`
	At       time.Time
	Objects  []string
	Warnings []string          `json:",omitempty"`
	Ticket   *specifier.Ticket `json:",omitempty"`
	// InForceOn lists the instances that have applied the ticket, according to the
	// last heartbeats that this instance received.
	InForceOn []string `json:",omitempty"`
	// NotYetOn lists the live instances that have not applied it yet, except those
	// that are leaving.
	NotYetOn []string `json:",omitempty"`
}

// Tickets returns all accepted tickets, sorted by descending number.
func Tickets(s *reducer.State) []Ticket {
	list := []Ticket{}
	for number := range s.Tickets {
		list = append(list, presentTicket(s.Tickets[number]))
	}
	slices.SortFunc(list, func(a, b Ticket) int { return int(int64(b.Number) - int64(a.Number)) })
	return list
}

func presentTicket(t reducer.TicketRecord) Ticket {
	return Ticket{
		Number: t.Ticket.Number, Operator: t.Ticket.Operator, Comment: t.Ticket.Comment,
		At: FromUnixMS(t.AtMS), Objects: t.Ticket.Objects(), Warnings: t.Warnings,
	}
}

// TicketDetail returns one accepted ticket with its content and the instances that
// have applied it. It reports false if no accepted ticket has the number.
func TicketDetail(s *reducer.State, status decider.ControlStatus, self string, number uint64) (Ticket, bool) {
	record, ok := s.Tickets[number]
	if !ok {
		return Ticket{}, false
	}
	v := presentTicket(record)
	v.Ticket = &record.Ticket
	v.InForceOn = []string{self}
	for _, name := range reducer.SortedKeys(status.Peers) {
		p := status.Peers[name]
		switch {
		case p.Next > record.Offset:
			v.InForceOn = append(v.InForceOn, name)
		case !p.Leaving:
			v.NotYetOn = append(v.NotYetOn, name)
		}
	}
	slices.Sort(v.InForceOn)
	return v, true
}

// AuditFilter selects lines of the audit trail. A zero field doesn't restrict the
// selection; a Limit of 0 means DefaultLimit.
type AuditFilter struct {
	Object string
	Ticket uint64
	Actor  string
	Since  time.Time
	Until  time.Time
	Limit  int
}

// AuditLine records one change of an object, or a refused attempt at one.
type AuditLine struct {
	Number uint64
	At     time.Time
	Actor  string
	Action string
	Object string
	Ticket uint64 `json:",omitempty"`
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
	Result string
}

// AuditTrail is the result of an audit query, the oldest line first.
type AuditTrail struct {
	Lines []AuditLine
	// Since is the time before which lines have expired; nil while none have.
	Since *time.Time `json:",omitempty"`
	// More is set when the limit left out older lines.
	More bool
}

// Audit returns the newest lines that match the filter.
func Audit(s *reducer.State, f AuditFilter) AuditTrail {
	if f.Limit <= 0 {
		f.Limit = DefaultLimit
	}
	trail := AuditTrail{Lines: []AuditLine{}}
	if len(s.Audit) > 0 && s.Audit[0].Number > 1 {
		trail.Since = optionalTime(s.Audit[0].AtMS)
	}
	for _, a := range slices.Backward(s.Audit) {
		if !f.matches(a) {
			continue
		}
		if len(trail.Lines) == f.Limit {
			trail.More = true
			break
		}
		trail.Lines = append(trail.Lines, AuditLine{
			Number: a.Number, At: FromUnixMS(a.AtMS), Actor: a.Actor, Action: a.Action, Object: a.Object,
			Ticket: a.Ticket, Before: a.Before, After: a.After, Result: a.Result,
		})
	}
	slices.Reverse(trail.Lines)
	return trail
}

// matches reports whether the filter selects the entry. The Object of an entry is one
// "Kind/Name" or, for a refused ticket, several with spaces between them. The filter's
// Object is one of these, or the name of the last one without its kind.
func (f AuditFilter) matches(a reducer.AuditEntry) bool {
	at := FromUnixMS(a.AtMS)
	return (f.Object == "" || strings.Contains(" "+a.Object+" ", " "+f.Object+" ") || strings.HasSuffix(a.Object, "/"+f.Object)) &&
		(f.Ticket == 0 || f.Ticket == a.Ticket) &&
		(f.Actor == "" || f.Actor == a.Actor) &&
		(f.Since.IsZero() || !at.Before(f.Since)) &&
		(f.Until.IsZero() || !at.After(f.Until))
}

// Instance describes one instance as the responding instance sees it.
type Instance struct {
	Name string
	// Self is set for the responding instance.
	Self bool
	// Holder is set for the instance that holds the current term.
	Holder  bool
	Member  bool
	Ready   bool
	Leaving bool
	Term    uint64
	// Next is the ledger offset that the instance applies next.
	Next uint64
	// Epoch is the version of the member list that the instance has applied.
	Epoch uint64
	// LogAgeMS is how long ago the control state was last known to be up to date.
	LogAgeMS int64
	// HeardAgoMS is the time since the last heartbeat.
	HeardAgoMS int64
}

// Instances returns all instances that the responding instance knows, sorted by name.
func Instances(s *reducer.State, status decider.ControlStatus, self string) []Instance {
	list := []Instance{{
		Name: self, Self: true, Holder: status.IsHolder, Member: s.IsMember(self), Ready: true,
		Term: s.Term, Next: s.Next, Epoch: s.Epoch, LogAgeMS: status.StateAgeMS,
	}}
	for _, name := range reducer.SortedKeys(status.Peers) {
		p := status.Peers[name]
		list = append(list, Instance{
			Name: name, Holder: s.Holder == p.Writer, Member: s.IsMember(name), Ready: p.Ready, Leaving: p.Leaving,
			Term: p.Term, Next: p.Next, Epoch: p.Epoch, LogAgeMS: p.LogAgeMS, HeardAgoMS: p.HeardAgoMS,
		})
	}
	slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// TicketResult is the result of applying or checking a ticket.
type TicketResult struct {
	Number   uint64
	Accepted bool
	// Repeat is set when the same ticket had been accepted before.
	Repeat bool `json:",omitempty"`
	// Checked is set when the ticket was only checked (a dry run), not applied.
	Checked  bool                `json:",omitempty"`
	Code     reducer.RefusalCode `json:",omitempty"`
	Reason   string              `json:",omitempty"`
	Warnings []string            `json:",omitempty"`
}
