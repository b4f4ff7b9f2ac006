package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/reporter"
	"daisyhead/platform"
)

type platformServeCommand struct{}

// Execute runs an instance on the platform.
func (platformServeCommand) Execute([]string) error {
	s, err := platform.LoadSettings()
	if err != nil {
		return exitError{exitUsage, err}
	}
	log := reporter.New(os.Stdout)
	logging, stopLogging := context.WithCancel(context.Background())
	go log.Run(logging)
	defer func() {
		stopLogging()
		<-log.Done()
	}()
	ctx, cancel := interruptible()
	defer cancel()
	if err := platform.Serve(ctx, s, log); err != nil {
		log.Event("Failed", "Error", err.Error())
		return errors.Wrap(err, "platform")
	}
	return nil
}
