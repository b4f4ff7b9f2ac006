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
	var timeline explainer.Timeline
	for _, name := range c.Args.Files {
		if err := readLog(&timeline, name); err != nil {
			return exitError{exitUsage, err}
		}
	}
	if timeline.Unreadable > 0 {
		fmt.Fprintf(os.Stderr, "daisyhead: skipped %d lines that are not events\n", timeline.Unreadable)
	}
	if err := timeline.Write(os.Stdout, c.ID); err != nil {
		return exitError{exitNotFound, err}
	}
	return nil
}

// readLog adds a log file to the timeline. The file name without its extension is
// the name of the instance.
func readLog(timeline *explainer.Timeline, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	return timeline.AddLog(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), f)
}
