// Package explainer describes the history of one job. The description depends only on
// the replicated state and the time, so every instance gives the same one.
//
//	history := explainer.Explain(state, job, nowMS)
//	fmt.Print(history.Text())
package explainer

import (
	"fmt"
	"strings"
	"time"

	"daisyhead/internal/entry/specifier"
	"daisyhead/internal/ledger/encoder"
	"daisyhead/internal/ledger/reducer"
)

// History describes the status, history and attempts of a job.
type History struct {
	ID        string
	Name      string
	Workspace string
	Status    reducer.JobStatus
	Outcome   encoder.Outcome
	// Summary states the job's status and the reason for it in one or two sentences.
	Summary  string
	Lines    []Line
	Attempts []Attempt
	// Unknown lists what the ledger does not show about the job, and since when.
	Unknown []string `json:",omitempty"`
	// Missing describes the part of the history that has expired. It is empty if the
	// history is complete.
	Missing string `json:",omitempty"`
}

// Line is one event in the job's history.
type Line struct {
	At   time.Time
	Kind string
	Text string
	// Offset is the ledger offset of the record that caused the event.
	Offset uint64
}

// Attempt describes one attempt to run the job's gang on a set of workers.
type Attempt struct {
	Number  int
	Term    uint64
	Claim   string `json:",omitempty"`
	Workers []string
	// Committed is when the decision to start was recorded in the ledger.
	Committed time.Time
	Running   *time.Time `json:",omitempty"`
	Ended     *time.Time `json:",omitempty"`
	Result    encoder.Result
	Why       string
	EndedWhy  string `json:",omitempty"`
}

// Explain describes job j at time nowMS, in Unix milliseconds.
func Explain(s *reducer.State, j *reducer.Job, nowMS int64) History {
	history := History{
		ID: j.ID, Name: j.Spec.Name, Workspace: j.Spec.Workspace, Status: j.Status, Outcome: j.Outcome,
		Summary: summarize(s, j, nowMS),
	}
	for _, e := range j.Events {
		history.Lines = append(history.Lines, Line{At: utcTime(e.AtMS), Kind: e.Kind, Text: e.Text, Offset: e.Offset})
	}
	for _, a := range j.Attempts {
		history.Attempts = append(history.Attempts, describeAttempt(a))
	}
	history.Unknown = unknowns(s, j)
	if j.EventsLost > 0 {
		history.Missing = fmt.Sprintf("%d older events between the submission and %s have expired", j.EventsLost, timeOfDay(j.Events[1].AtMS))
	}
	return history
}

func describeAttempt(a reducer.Attempt) Attempt {
	v := Attempt{
		Number: a.Number, Term: a.Term, Claim: a.Claim, Committed: utcTime(a.CommittedMS), Running: optionalTime(a.RunningMS),
		Ended: optionalTime(a.EndedMS), Result: a.Result, Why: a.Reason, EndedWhy: a.EndReason,
	}
	for _, p := range a.Placements {
		v.Workers = append(v.Workers, fmt.Sprintf("%s x%d", p.Worker, p.Tasks))
	}
	return v
}

// summarize returns the summary of the job at time nowMS.
func summarize(s *reducer.State, j *reducer.Job, nowMS int64) string {
	age := formatDuration(j.SubmittedMS, nowMS)
	switch j.Status {
	case reducer.JobWaiting:
		reason := j.WaitingFor
		if reason == "" {
			reason = "the next decision"
		}
		return fmt.Sprintf("The job waits, %s after its submission, after %s. It waits for: %s.", age, countNoun(j.AttemptCount, "attempt"), reason)
	case reducer.JobStarting:
		return fmt.Sprintf("Attempt %d is being started; not every worker has confirmed yet.", j.LastAttempt)
	case reducer.JobRunning:
		a := j.ActiveAttempt()
		return fmt.Sprintf("The job runs as attempt %d on %s since %s.", a.Number, countNoun(len(a.Placements), "worker"), timeOfDay(a.RunningMS))
	case reducer.JobStopping:
		a := j.ActiveAttempt()
		return fmt.Sprintf("Attempt %d is being stopped (%s): %s.", a.Number, a.StopCause, a.StopReason)
	}
	text := fmt.Sprintf("%s %s after its submission, after %s: %s.", j.Status, formatDuration(j.SubmittedMS, j.EndedMS), countNoun(j.AttemptCount, "attempt"), j.Reason)
	switch j.Outcome {
	case encoder.OutcomeNotRun:
		return text + " No part of it ever ran."
	case encoder.OutcomeUnknown:
		return text + " Whether it ran can't be proved."
	}
	return text
}

// unknowns lists what the ledger does not show about the job: what lost attempts
// did, unconfirmed starts, and silent workers.
func unknowns(s *reducer.State, j *reducer.Job) []string {
	var list []string
	for _, a := range j.Attempts {
		switch {
		case a.Result == encoder.ResultLost:
			list = append(list, fmt.Sprintf("what attempt %d did after %s: %s", a.Number, timeOfDay(max(a.RunningMS, a.CommittedMS)), a.EndReason))
		case a.EndedMS == 0 && a.RunningMS == 0:
			list = append(list, fmt.Sprintf("whether every worker of attempt %d has started, since %s", a.Number, timeOfDay(a.CommittedMS)))
		}
	}
	if a := j.ActiveAttempt(); a != nil {
		for _, p := range a.Placements {
			if h := s.Workers[p.Worker]; h.Silent {
				list = append(list, fmt.Sprintf("what worker %s does since %s: %s", p.Worker, timeOfDay(h.SinceMS), h.SilentReason))
			}
		}
	}
	return list
}

// Text formats the history as human-readable text.
func (h History) Text() string {
	var b strings.Builder
	name := h.Name
	if name == "" {
		name = "(no name)"
	}
	fmt.Fprintf(&b, "Job %s, %s, workspace %s\n%s\n\nHistory\n", h.ID, name, h.Workspace, h.Summary)
	for _, l := range h.Lines {
		fmt.Fprintf(&b, "  %s  %s\n", l.At.Format("2006-01-02 15:04:05.000"), l.Text)
	}
	if h.Missing != "" {
		fmt.Fprintf(&b, "  (%s)\n", h.Missing)
	}
	if len(h.Attempts) > 0 {
		b.WriteString("\nAttempts\n")
	}
	for _, a := range h.Attempts {
		b.WriteString(a.text())
	}
	if len(h.Unknown) > 0 {
		b.WriteString("\nNot known\n")
	}
	for _, u := range h.Unknown {
		fmt.Fprintf(&b, "  - %s\n", u)
	}
	return b.String()
}

func (a Attempt) text() string {
	result := "active"
	if a.Result != "" {
		result = string(a.Result)
	}
	text := fmt.Sprintf("  %d  term %d  %-8s  %s  %s", a.Number, a.Term, result, strings.Join(a.Workers, ", "), a.Why)
	if a.EndedWhy != "" {
		text += "; ended: " + a.EndedWhy
	}
	return text + "\n"
}

func utcTime(ms int64) time.Time { return time.UnixMilli(ms).UTC() }

// optionalTime returns the time, or nil for 0.
func optionalTime(ms int64) *time.Time {
	if ms == 0 {
		return nil
	}
	t := utcTime(ms)
	return &t
}

func timeOfDay(ms int64) string { return utcTime(ms).Format("15:04:05.000") }

func formatDuration(fromMS, toMS int64) string {
	return specifier.Duration(time.Duration(max(toMS-fromMS, 0)) * time.Millisecond).String()
}

// countNoun returns the number followed by the noun, with a plural s unless n is 1.
func countNoun(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
