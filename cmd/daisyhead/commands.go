package main

import "github.com/jessevdk/go-flags"

// addCommandGroup adds a command that has no action, only subcommands.
func addCommandGroup(p *flags.Parser, name, short string) *flags.Command {
	return must(p.AddCommand(name, short, "", &struct{}{}))
}

// must returns the command. It panics on an error, which only a faulty command
// definition causes.
func must(c *flags.Command, err error) *flags.Command {
	if err != nil {
		panic(err)
	}
	return c
}

func addCommands(p *flags.Parser) {
	must(p.AddCommand("serve", "Run one entry instance", "Runs one entry instance until SIGTERM or SIGINT, then shuts down gracefully.", &serveCommand{}))
	must(addCommandGroup(p, "platform", "Run on the users' platform").AddCommand("serve", "Run one instance on the platform", "Runs one instance with the settings that the platform provides until SIGTERM or SIGINT, then shuts down gracefully.", &platformServeCommand{}))
	must(p.AddCommand("demo", "Demonstrate the system in one process", "Runs three instances against stand-ins for the platform on loopback, injects failures and counts violations of the invariants. Takes less than a minute.", &demoCommand{}))
	must(p.AddCommand("audit", "Read the audit trail", "Lists who changed what and when, including refused changes.", &auditCommand{}))
	must(p.AddCommand("version", "Print the version", "", &versionCommand{}))

	job := addCommandGroup(p, "job", "Submit and follow jobs")
	must(job.AddCommand("submit", "Submit jobs from a file", "Submits the jobs of a YAML file, or one job given by flags.", &jobSubmitCommand{}))
	must(job.AddCommand("status", "Show one job", "", &jobStatusCommand{}))
	must(job.AddCommand("list", "List jobs", "", &jobListCommand{}))
	must(job.AddCommand("cancel", "Cancel jobs", "", &jobCancelCommand{}))
	must(job.AddCommand("wait", "Wait until jobs have ended", "Exits with 0 if all jobs finished, 3 if one was refused, failed or was cancelled, 6 if the outcome of one is unknown.", &jobWaitCommand{}))
	must(job.AddCommand("explain", "Show the full history of a job", "", &jobExplainCommand{}))

	logs := addCommandGroup(p, "logs", "Read the logs of instances on the platform")
	must(logs.AddCommand("summary", "Sum up the logs of several instances", "Counts terms, outages, jobs and their waits by queue, stops and lost work by reason, waits and refusals.", &logsSummaryCommand{}))
	must(logs.AddCommand("explain", "Merge logs into the timeline of one job", "Merges the log files of several instances, one file per instance, into one timeline and marks gaps.", &logsExplainCommand{}))

	ticket := addCommandGroup(p, "ticket", "Apply numbered change tickets")
	must(ticket.AddCommand("check", "Validate a ticket without applying it", "", &ticketCheckCommand{}))
	must(ticket.AddCommand("apply", "Apply a ticket", "", &ticketApplyCommand{}))
	must(ticket.AddCommand("show", "Show an accepted ticket and where it is in force", "", &ticketShowCommand{}))
	must(ticket.AddCommand("list", "List accepted tickets", "", &ticketListCommand{}))

	must(addCommandGroup(p, "workspace", "Show workspaces").AddCommand("list", "List workspaces with their guarantees and usage", "", &workspaceListCommand{}))
	must(addCommandGroup(p, "domain", "Show failure domains").AddCommand("list", "List failure domains", "", &domainListCommand{}))
	must(addCommandGroup(p, "worker", "Show workers").AddCommand("list", "List workers", "", &workerListCommand{}))
	must(addCommandGroup(p, "minion", "Show minions").AddCommand("list", "List minions", "", &minionListCommand{}))
	must(addCommandGroup(p, "instance", "Show instances").AddCommand("list", "List instances of daisyhead", "", &instanceListCommand{}))

	config := addCommandGroup(p, "config", "Check or print settings")
	must(config.AddCommand("check", "Check a settings file", "", &configCheckCommand{}))
	must(config.AddCommand("default", "Print the default settings", "", &configDefaultCommand{}))

	keys := addCommandGroup(p, "keys", "Generate keys for a trial setup")
	must(keys.AddCommand("authority", "Generate a certificate authority", "", &keysAuthorityCommand{}))
	must(keys.AddCommand("certificate", "Generate the certificate of an instance", "", &keysCertificateCommand{}))
	must(keys.AddCommand("token", "Generate a bearer token and its hash", "", &keysTokenCommand{}))
}
