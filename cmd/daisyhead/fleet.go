package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"daisyhead/internal/entry/caller"
	"daisyhead/internal/product/printer"
)

// printList fetches a list and prints it in the output format. In a table, each
// item is one row.
func printList[T any](fetch func(*caller.Client, context.Context) ([]T, error), head []string, row func(T) []any) error {
	cl, err := client()
	if err != nil {
		return err
	}
	items, err := fetch(cl, context.Background())
	if err != nil {
		return err
	}
	table := printer.Table{Head: head}
	for _, item := range items {
		table.Add(row(item)...)
	}
	return output().Print(items, table)
}

type workspaceListCommand struct{}

// Execute lists workspaces.
func (workspaceListCommand) Execute([]string) error {
	head := []string{"WORKSPACE", "TICKET", "QUOTA", "IN USE", "WAITING", "RUNNING", "GUARANTEES"}
	return printList((*caller.Client).Workspaces, head, func(w workspace) []any {
		var guarantees []string
		for _, g := range w.Guarantees {
			guarantees = append(guarantees, fmt.Sprintf("%s: %d claimed, %d short", g.String(), g.Claimed, g.Short))
		}
		return []any{w.Name, w.Ticket, w.QuotaAccelerators, w.AcceleratorsInUse, w.Waiting, w.Running, strings.Join(guarantees, "; ")}
	})
}

type domainListCommand struct{}

// Execute lists failure domains.
func (domainListCommand) Execute([]string) error {
	head := []string{"DOMAIN", "REGION", "STATE", "SINCE", "TICKET", "WORKERS", "MINIONS", "JOBS"}
	return printList((*caller.Client).Domains, head, func(d domain) []any {
		return []any{d.Name, d.Region, d.State, d.Since.Format(time.RFC3339), d.Ticket, d.Workers, d.Minions, d.Active}
	})
}

type workerListCommand struct{}

// Execute lists workers.
func (workerListCommand) Execute([]string) error {
	head := []string{"WORKER", "DOMAIN", "RACK", "STATE", "ACCELERATORS", "IN USE", "JOBS", "HEARD", "WHY"}
	return printList((*caller.Client).Workers, head, func(w worker) []any {
		heard := "-"
		if w.HeardAgoMS != nil {
			heard = fmt.Sprintf("%d ms ago", *w.HeardAgoMS)
		}
		return []any{w.Name, w.Domain, w.Rack, w.State, w.Accelerators, w.AcceleratorsUsed, len(w.Jobs), heard, w.Reason}
	})
}

type minionListCommand struct{}

// Execute lists minions.
func (minionListCommand) Execute([]string) error {
	head := []string{"MINION", "SERVICE", "DOMAIN", "STATE", "ADDRESS", "SLOTS", "CONNECTIONS"}
	return printList((*caller.Client).Minions, head, func(m minion) []any {
		return []any{m.Name, m.Service, m.Domain, m.State, m.Address, m.Slots, m.Connections}
	})
}

type instanceListCommand struct{}

// Execute lists instances.
func (instanceListCommand) Execute([]string) error {
	head := []string{"INSTANCE", "HOLDER", "MEMBER", "READY", "LEAVING", "TERM", "NEXT", "EPOCH", "LOG AGE", "HEARD"}
	return printList((*caller.Client).Instances, head, func(i instance) []any {
		heard := fmt.Sprintf("%d ms ago", i.HeardAgoMS)
		if i.Self {
			heard = "self"
		}
		return []any{i.Name, i.Holder, i.Member, i.Ready, i.Leaving, i.Term, i.Next, i.Epoch, fmt.Sprintf("%d ms", i.LogAgeMS), heard}
	})
}
