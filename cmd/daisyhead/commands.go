package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
)

// group adds a command that only holds others.
func group(p *flags.Parser, name, short string) *flags.Command {
	return must(p.AddCommand(name, short, "", &struct{}{}))
}

func must(c *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err)
	}
	return c
}

func addCommands(p *flags.Parser) {
	must(p.AddCommand("serve", "Run one entry instance", "Runs one entry instance until SIGTERM or SIGINT, then shuts down gracefully.", &serveCommand{}))
	must(group(p, "platform", "Run on the users' platform").AddCommand("serve", "Run one instance on the platform", "Runs one instance by the platform's settings until SIGTERM or SIGINT, then shuts down gracefully.", &platformServeCommand{}))
	must(p.AddCommand("demo", "Show everything in one process", "Runs three instances against stand-ins of the platform on loopback, puts them through failures and counts broken promises. Ends within a minute.", &demoCommand{}))
	must(p.AddCommand("audit", "Read the audit trail", "Lists who changed what, refusals included.", &auditCommand{}))
	must(p.AddCommand("version", "Print the version", "", &versionCommand{}))

	job := group(p, "job", "Submit and follow jobs")
	must(job.AddCommand("submit", "Submit jobs from a file", "Submits the jobs of a YAML file, or one job given by flags.", &jobSubmitCommand{}))
	must(job.AddCommand("status", "Show one job", "", &jobStatusCommand{}))
	must(job.AddCommand("list", "List jobs", "", &jobListCommand{}))
	must(job.AddCommand("cancel", "Cancel jobs", "", &jobCancelCommand{}))
	must(job.AddCommand("wait", "Wait until jobs have ended", "Exits with 0 when all finished, 3 when one was refused, failed or cancelled, 6 when one is unknown.", &jobWaitCommand{}))
	must(job.AddCommand("explain", "Tell exactly what happened to a job", "", &jobExplainCommand{}))

	must(group(p, "logs", "Read the logs of instances on the platform").AddCommand("explain", "Join logs into the story of one job", "Joins the log files of several instances, one file each, into one timeline. Gaps are named.", &logsExplainCommand{}))

	ticket := group(p, "ticket", "Apply numbered change tickets")
	must(ticket.AddCommand("check", "Judge a ticket without applying it", "", &ticketCheckCommand{}))
	must(ticket.AddCommand("apply", "Apply a ticket", "", &ticketApplyCommand{}))
	must(ticket.AddCommand("show", "Show an accepted ticket and where it is in force", "", &ticketShowCommand{}))
	must(ticket.AddCommand("list", "List accepted tickets", "", &ticketListCommand{}))

	must(group(p, "workspace", "See workspaces").AddCommand("list", "List workspaces with guarantees and use", "", &workspaceListCommand{}))
	must(group(p, "domain", "See failure domains").AddCommand("list", "List failure domains", "", &domainListCommand{}))
	must(group(p, "worker", "See workers").AddCommand("list", "List workers", "", &workerListCommand{}))
	must(group(p, "minion", "See minions").AddCommand("list", "List minions", "", &minionListCommand{}))
	must(group(p, "instance", "See instances").AddCommand("list", "List instances of daisyhead", "", &instanceListCommand{}))

	config := group(p, "config", "Check settings")
	must(config.AddCommand("check", "Check a settings file", "", &configCheckCommand{}))
	must(config.AddCommand("default", "Print the default settings", "", &configDefaultCommand{}))

	keys := group(p, "keys", "Make keys for a try-out")
	must(keys.AddCommand("authority", "Make a certificate authority", "", &keysAuthorityCommand{}))
	must(keys.AddCommand("certificate", "Make an instance's certificate", "", &keysCertificateCommand{}))
	must(keys.AddCommand("token", "Make a bearer token and its hash", "", &keysTokenCommand{}))
}

// interruptible returns a context that ends with SIGINT or SIGTERM.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
