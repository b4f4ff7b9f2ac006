package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/entry/parser"
	"daisyhead/internal/entry/presenter"
	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/product/printer"
)

// ticketFile is the --file option that ticket check and ticket apply share.
type ticketFile struct {
	File string `short:"f" long:"file" required:"true" description:"YAML file that contains one ticket"`
}

// read parses the file and validates the ticket.
func (f ticketFile) read() (t specifier.Ticket, err error) {
	data, err := os.ReadFile(f.File)
	if err != nil {
		return t, err
	}
	if err := parser.Parse(f.File, data, &t); err != nil {
		return t, err
	}
	return t, errors.Wrap(t.Validate(), f.File)
}

// apply sends the ticket to the server and prints the verdict. With checkOnly,
// the server validates the ticket without applying it.
func (f ticketFile) apply(checkOnly bool) error {
	t, err := f.read()
	if err != nil {
		return exitError{exitUsage, err}
	}
	cl, err := client()
	if err != nil {
		return err
	}
	v, err := cl.ApplyTicket(context.Background(), t, checkOnly)
	if err != nil {
		return err
	}
	table := printer.Table{Head: []string{"TICKET", "VERDICT", "WHY"}}
	table.Add(v.Number, verdictText(v), v.Reason)
	for _, w := range v.Warnings {
		table.Add("", "warning", w)
	}
	if err := output().Print(v, table); err != nil {
		return err
	}
	if !v.Accepted {
		return exitError{exitRefused, errors.Newf("ticket %d is refused: %s", v.Number, v.Reason)}
	}
	return nil
}

func verdictText(v presenter.TicketResult) string {
	switch {
	case !v.Accepted:
		return "refused: " + string(v.Code)
	case v.Repeat:
		return "accepted before"
	case v.Checked:
		return "would be accepted"
	}
	return "accepted"
}

type ticketCheckCommand struct{ ticketFile }

// Execute validates a ticket without applying it.
func (c *ticketCheckCommand) Execute([]string) error { return c.apply(true) }

type ticketApplyCommand struct{ ticketFile }

// Execute applies a ticket.
func (c *ticketApplyCommand) Execute([]string) error { return c.apply(false) }

type ticketShowCommand struct {
	Args struct {
		Number uint64 `positional-arg-name:"NUMBER"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints one accepted ticket.
func (c *ticketShowCommand) Execute([]string) error {
	cl, err := client()
	if err != nil {
		return err
	}
	t, err := cl.Ticket(context.Background(), c.Args.Number)
	if err != nil {
		return err
	}
	table := printer.Table{}
	table.Add("Number", t.Number)
	table.Add("Operator", t.Operator)
	table.Add("Comment", t.Comment)
	table.Add("Accepted", t.At.Format(time.RFC3339Nano))
	table.Add("Touches", strings.Join(t.Objects, " "))
	table.Add("In force on", strings.Join(t.InForceOn, " "))
	table.Add("Not yet on", strings.Join(t.NotYetOn, " "))
	for _, w := range t.Warnings {
		table.Add("Warning", w)
	}
	return output().Print(t, table)
}

type ticketListCommand struct{}

// Execute lists the accepted tickets.
func (ticketListCommand) Execute([]string) error {
	cl, err := client()
	if err != nil {
		return err
	}
	list, err := cl.Tickets(context.Background())
	if err != nil {
		return err
	}
	table := printer.Table{Head: []string{"NUMBER", "OPERATOR", "ACCEPTED", "TOUCHES", "COMMENT"}}
	for _, t := range list {
		table.Add(t.Number, t.Operator, t.At.Format(time.RFC3339), strings.Join(t.Objects, " "), t.Comment)
	}
	return output().Print(list, table)
}

type auditCommand struct {
	Object   string `long:"object" description:"only lines about this object, such as Domain/itajai-1 or a job's ID"`
	Ticket   uint64 `long:"ticket" description:"only lines about this ticket"`
	Operator string `long:"operator" description:"only changes by this operator, caller or instance"`
	Since    string `long:"since" description:"only lines at or after this time, such as 2026-12-04T09:00:00Z"`
	Until    string `long:"until" description:"only lines at or before this time"`
	Limit    int    `long:"limit" description:"maximum number of lines; the newest are kept"`
}

// Execute prints the lines of the audit trail that match the filters.
func (c *auditCommand) Execute([]string) error {
	f := presenter.AuditFilter{Object: c.Object, Ticket: c.Ticket, Actor: c.Operator, Limit: c.Limit}
	for _, t := range []struct {
		text string
		dst  *time.Time
	}{{c.Since, &f.Since}, {c.Until, &f.Until}} {
		if t.text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, t.text)
		if err != nil {
			return exitError{exitUsage, errors.Newf("%q is not a time such as 2026-12-04T09:00:00Z", t.text)}
		}
		*t.dst = at
	}
	cl, err := client()
	if err != nil {
		return err
	}
	trail, err := cl.Audit(context.Background(), f)
	if err != nil {
		return err
	}
	return printAudit(trail)
}

// printAudit prints the audit trail. In a table, it also says from when on lines have
// been kept.
func printAudit(trail presenter.AuditTrail) error {
	table := printer.Table{Head: []string{"NO", "TIME", "WHO", "ACTION", "OBJECT", "TICKET", "BEFORE", "AFTER", "RESULT"}}
	for _, l := range trail.Lines {
		ticket := ""
		if l.Ticket > 0 {
			ticket = strconv.FormatUint(l.Ticket, 10)
		}
		table.Add(l.Number, l.At.Format(time.RFC3339), l.Actor, l.Action, l.Object, ticket, l.Before, l.After, l.Result)
	}
	if trail.Since != nil {
		table.Foot = fmt.Sprintf("Lines from before %s have expired.", trail.Since.Format(time.RFC3339))
	}
	return output().Print(trail, table)
}
