package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/product/demonstrator"
)

type demoCommand struct {
	Site    string `long:"site" choice:"pescados" choice:"arrieta" default:"pescados" description:"example site to run"`
	Verbose bool   `long:"verbose" description:"also print the logs of the instances"`
}

// Execute runs the demonstration. It fails if an invariant was violated, or if a job
// failed, did not end or has an unknown outcome.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	summary, err := demonstrator.Run(ctx, demonstrator.Options{Site: c.Site, Progress: os.Stderr, Verbose: c.Verbose})
	if err != nil {
		return err
	}
	if err := output().Print(summary, summary.Table()); err != nil {
		return err
	}
	if !summary.Held() {
		return exitError{exitFailed, errors.New("an invariant was violated, or a job failed or did not end; see the summary")}
	}
	return nil
}
