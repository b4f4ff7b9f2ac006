package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/reporter"
	"daisyhead/platform"
)

type platformServeCommand struct {
	MetricsPort uint16 `long:"metrics-port" value-name:"PORT" description:"port for metrics; 0 means the second port of the range in the settings"`
}

// Execute runs an instance on the platform until it is interrupted. The last log
// lines are written before it returns.
func (c platformServeCommand) Execute([]string) error {
	ctx, reload := daemonSignals()
	s, err := platform.LoadSettings()
	if err != nil {
		return exitError{exitUsage, err}
	}
	s = s.WithMetricsPort(c.MetricsPort)
	log := reporter.New(os.Stdout)
	logCtx, stopLogging := context.WithCancel(context.Background())
	go log.Run(logCtx)
	defer func() {
		stopLogging()
		<-log.Done()
	}()
	if err := platform.Serve(ctx, s, log, reload); err != nil {
		log.Event("Failed", "Error", err.Error())
		return errors.Wrap(err, "platform")
	}
	return nil
}
