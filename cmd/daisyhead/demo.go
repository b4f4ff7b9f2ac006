package main

import (
	"os"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/product/demonstrator"
)

type demoCommand struct {
	Site    string `long:"site" choice:"pescados" choice:"arrieta" default:"pescados" description:"whose example to show"`
	Verbose bool   `long:"verbose" description:"print the instances' logs too"`
}

// Execute runs the demonstration.
func (c *demoCommand) Execute([]string) error {
	ctx, cancel := interruptible()
	defer cancel()
	summary, err := demonstrator.Run(ctx, demonstrator.Options{Site: c.Site, Progress: os.Stderr, Verbose: c.Verbose})
	if err != nil {
		return err
	}
	if err := output().Print(summary, summary.Table()); err != nil {
		return err
	}
	if !summary.Held() {
		return exitError{exitFailed, errors.New("not every promise held")}
	}
	return nil
}
