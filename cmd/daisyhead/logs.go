package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"daisyhead/internal/workload/explainer"
)

type logsExplainCommand struct {
	ID   string `long:"id" required:"true" description:"the job's ID"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute merges the logs of several instances into the timeline of one job.
func (c *logsExplainCommand) Execute([]string) error {
	var s explainer.Timeline
	for _, name := range c.Args.Files {
		if err := readLog(&s, name); err != nil {
			return exitError{exitUsage, err}
		}
	}
	if s.Unreadable > 0 {
		fmt.Fprintf(os.Stderr, "daisyhead: skipped %d lines that are not events\n", s.Unreadable)
	}
	if err := s.Write(os.Stdout, c.ID); err != nil {
		return exitError{exitNotFound, err}
	}
	return nil
}

// readLog adds a log file. The file name without its extension names the
// instance.
func readLog(s *explainer.Timeline, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return s.AddLog(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), f)
}
