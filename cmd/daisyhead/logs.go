package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"daisyhead/internal/product/printer"
	"daisyhead/internal/workload/explainer"
	"daisyhead/internal/workload/summarizer"
)

type logsExplainCommand struct {
	ID   string `long:"id" required:"true" description:"the job's ID"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute merges the logs of several instances into the timeline of one job.
func (c *logsExplainCommand) Execute([]string) error {
	timeline := explainer.Timeline{Job: c.ID}
	if err := readLogs(c.Args.Files, timeline.AddLog); err != nil {
		return err
	}
	warnUnreadable(timeline.Unreadable)
	if err := timeline.Write(os.Stdout, c.ID); err != nil {
		return exitError{exitNotFound, err}
	}
	return nil
}

type logsSummaryCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute sums up the logs of several instances.
func (c *logsSummaryCommand) Execute([]string) error {
	var summary summarizer.Summary
	if err := readLogs(c.Args.Files, summary.AddLog); err != nil {
		return err
	}
	warnUnreadable(summary.Unreadable)
	return output().Print(summary, summaryTable(summary))
}

// readLogs passes log files to add, one after the other. A file's name without its
// extension is the name of the instance.
func readLogs(names []string, add func(instance string, r io.Reader) error) error {
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return exitError{exitUsage, err}
		}
		err = add(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), f)
		f.Close()
		if err != nil {
			return exitError{exitUsage, err}
		}
	}
	return nil
}

func warnUnreadable(lines int) {
	if lines > 0 {
		fmt.Fprintf(os.Stderr, "daisyhead: skipped %d lines that are not events\n", lines)
	}
}

// timeOfDay is the format of times in tables.
const timeOfDay = "15:04:05.000"

// summaryTable puts a summary on one screen.
func summaryTable(s summarizer.Summary) (t printer.Table) {
	t.Head = []string{"WHAT", "NAME", "COUNT", "DETAILS"}
	t.Add("span", s.From.UTC().Format(timeOfDay), s.Lines, "until "+s.To.UTC().Format(timeOfDay))
	for _, term := range s.Terms {
		t.Add("term", term.At.UTC().Format(timeOfDay), term.Number, term.Instance)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Outages)) {
		o := s.Outages[name]
		t.Add("outage", name, o.Times, fmt.Sprintf("%d instances, between %s and %s", o.Instances, o.First.UTC().Format(timeOfDay), o.Last.UTC().Format(timeOfDay)))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Jobs)) {
		q := s.Jobs[name]
		t.Add("jobs", name, q.Seen, fmt.Sprintf("%d started after %d ms at the median, %d ms for 95 of 100, %d ms at most; ended: %s", q.Started, q.Waits.P50, q.Waits.P95, q.Waits.Max, counts(q.Ended)))
	}
	for _, reason := range byCount(s.Stops, func(stop *summarizer.Stop) int { return stop.Units }) {
		t.Add("stops", reason, s.Stops[reason].Units, fmt.Sprintf("%.0f core-seconds lost", s.Stops[reason].LostCoreS))
	}
	for _, c := range []struct {
		what   string
		counts map[string]int
	}{{"waits", s.Waits}, {"refusals", s.Refusals}, {"workers", s.Workers}} {
		for _, name := range byCount(c.counts, func(n int) int { return n }) {
			t.Add(c.what, name, c.counts[name], "")
		}
	}
	return t
}

// counts lists names with their counts, the largest first.
func counts(m map[string]int) string {
	var parts []string
	for _, name := range byCount(m, func(n int) int { return n }) {
		parts = append(parts, fmt.Sprintf("%d %s", m[name], name))
	}
	return strings.Join(parts, ", ")
}

// byCount returns the names, the one with the largest count first.
func byCount[T any](m map[string]T, count func(T) int) []string {
	return slices.SortedFunc(maps.Keys(m), func(a, b string) int {
		return cmp.Or(cmp.Compare(count(m[b]), count(m[a])), cmp.Compare(a, b))
	})
}
