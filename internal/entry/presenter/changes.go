package presenter

import (
	"slices"
	"strings"
	"time"

	"daisyhead/internal/control/decider"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/reducer"
)

// Ticket is an accepted ticket and where it is in force.
type Ticket struct {
	Number   uint64
	Operator string
	Comment  string `json:",omitempty"`
	At       time.Time
	Objects  []string
	Warnings []string          `json:",omitempty"`
	Ticket   *specifier.Ticket `json:",omitempty"`
	// InForceOn lists the instances whose fold has reached the ticket, as far
	// as this instance has heard.
	InForceOn []string `json:",omitempty"`
	// NotYetOn lists the live instances whose fold has not.
	NotYetOn []string `json:",omitempty"`
}

// Tickets presents all accepted tickets, the highest number first.
func Tickets(s *reducer.State) []Ticket {
	list := []Ticket{}
	for number := range s.Tickets {
		list = append(list, ticketOf(s.Tickets[number]))
	}
	slices.SortFunc(list, func(a, b Ticket) int { return int(int64(b.Number) - int64(a.Number)) })
	return list
}

func ticketOf(t reducer.TicketRecord) Ticket {
	return Ticket{
		Number: t.Ticket.Number, Operator: t.Ticket.Operator, Comment: t.Ticket.Comment,
		At: At(t.AtMS), Objects: t.Ticket.Objects(), Warnings: t.Warnings,
	}
}

// TicketDetail presents one accepted ticket.
func TicketDetail(s *reducer.State, l decider.Liaison, self string, number uint64) (Ticket, bool) {
	record, ok := s.Tickets[number]
	if !ok {
		return Ticket{}, false
	}
	v := ticketOf(record)
	v.Ticket = &record.Ticket
	v.InForceOn = []string{self}
	for _, name := range reducer.SortedKeys(l.Peers) {
		p := l.Peers[name]
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

// AuditFilter selects lines of the audit trail; empty fields select all.
type AuditFilter struct {
	Object string
	Ticket uint64
	Actor  string
	Since  time.Time
	Until  time.Time
	Limit  int
}

// AuditLine is one line of the audit trail.
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

// AuditTrail is the answer to a question about changes, the oldest line first.
type AuditTrail struct {
	Lines []AuditLine
	// Since is the time before which the trail has expired; absent while it is whole.
	Since *time.Time `json:",omitempty"`
	More  bool
}

// Audit presents the newest lines that the filter selects.
func Audit(s *reducer.State, f AuditFilter) AuditTrail {
	if f.Limit <= 0 {
		f.Limit = DefaultLimit
	}
	trail := AuditTrail{Lines: []AuditLine{}}
	if len(s.Audit) > 0 && s.Audit[0].Number > 1 {
		trail.Since = optional(s.Audit[0].AtMS)
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
			Number: a.Number, At: At(a.AtMS), Actor: a.Actor, Action: a.Action, Object: a.Object,
			Ticket: a.Ticket, Before: a.Before, After: a.After, Result: a.Result,
		})
	}
	slices.Reverse(trail.Lines)
	return trail
}

func (f AuditFilter) matches(a reducer.AuditEntry) bool {
	at := At(a.AtMS)
	return (f.Object == "" || strings.Contains(" "+a.Object+" ", " "+f.Object+" ") || strings.HasSuffix(a.Object, "/"+f.Object)) &&
		(f.Ticket == 0 || f.Ticket == a.Ticket) &&
		(f.Actor == "" || f.Actor == a.Actor) &&
		(f.Since.IsZero() || !at.Before(f.Since)) &&
		(f.Until.IsZero() || !at.After(f.Until))
}

// Instance is one instance of daisyhead as this one sees it.
type Instance struct {
	Name       string
	Self       bool
	Holder     bool
	Member     bool
	Ready      bool
	Leaving    bool
	Term       uint64
	Next       uint64
	Epoch      uint64
	LogAgeMS   int64
	HeardAgoMS int64
}

// Instances presents all instances that this one knows.
func Instances(s *reducer.State, l decider.Liaison, self string) []Instance {
	list := []Instance{{
		Name: self, Self: true, Holder: l.Holder, Member: s.IsMember(self), Ready: true,
		Term: s.Term, Next: s.Next, Epoch: s.Epoch, LogAgeMS: l.FreshMS,
	}}
	for _, name := range reducer.SortedKeys(l.Peers) {
		p := l.Peers[name]
		list = append(list, Instance{
			Name: name, Holder: s.Holder == p.Writer, Member: s.IsMember(name), Ready: p.Ready, Leaving: p.Leaving,
			Term: p.Term, Next: p.Next, Epoch: p.Epoch, LogAgeMS: p.LogAgeMS, HeardAgoMS: p.HeardAgoMS,
		})
	}
	slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Verdict is the answer to an applied or checked ticket.
type Verdict struct {
	Number   uint64
	Accepted bool
	Repeat   bool                `json:",omitempty"`
	Checked  bool                `json:",omitempty"`
	Code     reducer.RefusalCode `json:",omitempty"`
	Reason   string              `json:",omitempty"`
	Warnings []string            `json:",omitempty"`
}
