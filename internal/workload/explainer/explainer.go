// Package explainer merges the logs of several instances into the timeline of
// one job.
//
//	var t explainer.Timeline
//	err := t.AddLog("entry-1", file)
//	t.Write(os.Stdout, "5c0e7a21d94b36f8")
package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrNoLines is returned if no log line mentions the job.
var ErrNoLines = errors.New("no log line mentions this job")

// minGap is the shortest time without a line that the timeline points out. A
// worker reports several times within it.
const minGap = 5 * time.Second

// maxLineBytes limits the length of a log line. AddLog fails at a longer one.
const maxLineBytes = 1 << 20

// contextEvents are events that can affect any job. The timeline of a job includes
// them if they lie between its first and its last line.
var contextEvents = map[string]bool{
	"TermTaken": true, "TermLost": true, "TermHandedOver": true, "TermYielded": true, "DependencyLost": true,
	"DependencyRegained": true, "EventsDropped": true, "Started": true, "Leaving": true, "Stopped": true, "WorkerLost": true,
	"WorkerRestarted": true, "TermClosed": true,
}

// line is one log line of an instance. text holds its formatted fields, and raw
// the JSON object. selectLines sets aboutJob if the line mentions the job.
type line struct {
	at       time.Time
	instance string
	name     string
	text     string
	aboutJob bool
	raw      string
}

// Timeline collects log lines. The zero value is ready to use.
type Timeline struct {
	// Job limits the lines that are kept to those that Write needs for this job. If it is
	// empty, all lines are kept.
	Job string

	lines []line
	// Unreadable counts the lines that are not JSON events.
	Unreadable int
}

// AddLog adds the log of an instance.
func (t *Timeline) AddLog(instance string, r io.Reader) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "read the log of %s", instance)
		}
	}()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		t.add(instance, scanner.Bytes())
	}
	return scanner.Err()
}

// add parses a log line and adds it to the timeline.
func (t *Timeline) add(instance string, raw []byte) {
	// Log collectors often prefix lines with a time or a name.
	if i := bytes.IndexByte(raw, '{'); i > 0 {
		raw = raw[i:]
	}
	var event struct {
		Time time.Time `json:"time"`
		Msg  string    `json:"msg"`
	}
	if json.Unmarshal(raw, &event) != nil || event.Msg == "" {
		t.Unreadable++
		return
	}
	if t.Job != "" && !contextEvents[event.Msg] && !bytes.Contains(raw, []byte(t.Job)) {
		return
	}
	t.lines = append(t.lines, line{at: event.Time, instance: instance, name: event.Msg, text: formatFields(raw), raw: string(raw)})
}

// formatFields formats the keys and values of an event as KEY=VALUE, in the order
// of the line. It leaves out the time, the level and the name of the event.
func formatFields(raw []byte) string {
	var parts []string
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if _, err := decoder.Token(); err != nil {
		return ""
	}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			break
		}
		var value json.RawMessage
		if decoder.Decode(&value) != nil {
			break
		}
		switch key {
		case "time", "level", "msg":
		default:
			parts = append(parts, fmt.Sprintf("%s=%s", key, value))
		}
	}
	return strings.Join(parts, " ")
}

// Write writes the timeline of a job: one row for each line, by time. A row of its
// own marks a gap of more than minGap. What happened in a gap was not logged, or
// is in the log of an instance that was not read.
func (t *Timeline) Write(w io.Writer, job string) error {
	lines := t.selectLines(job)
	if len(lines) == 0 {
		return errors.Wrapf(ErrNoLines, "job %s", job)
	}
	for i, l := range lines {
		if i > 0 && l.at.Sub(lines[i-1].at) > minGap {
			fmt.Fprintf(w, "%12s  no line for %s\n", "", l.at.Sub(lines[i-1].at).Round(time.Millisecond))
		}
		if _, err := fmt.Fprintf(w, "%s  %-18s %-20s %s\n", l.at.UTC().Format("15:04:05.000"), l.instance, l.name, l.text); err != nil {
			return err
		}
	}
	return nil
}

// selectLines returns the lines that mention the job, and the context events
// between the first and the last of them, sorted by time.
func (t *Timeline) selectLines(job string) (selected []line) {
	slices.SortStableFunc(t.lines, func(a, b line) int { return a.at.Compare(b.at) })
	first, last := -1, -1
	for i := range t.lines {
		t.lines[i].aboutJob = strings.Contains(t.lines[i].raw, job)
		if t.lines[i].aboutJob {
			last = i
			if first < 0 {
				first = i
			}
		}
	}
	if first < 0 {
		return nil
	}
	for _, l := range t.lines[first : last+1] {
		if l.aboutJob || contextEvents[l.name] {
			selected = append(selected, l)
		}
	}
	return selected
}
