// Package storyteller joins the log lines of several instances into the story
// of one job.
//
//	var s storyteller.Story
//	err := s.Read("entry-1", file)
//	s.Write(os.Stdout, "5c0e7a21d94b36f8")
package storyteller

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

// ErrNoLines tells that no line is about the job.
var ErrNoLines = errors.New("no line is about this job")

// gapAfter without a line of the job is worth a remark: several reports of a
// worker.
const gapAfter = 5 * time.Second

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// contextEvents change what can happen to any job, so they stand in its story.
var contextEvents = map[string]bool{
	"TermTaken": true, "TermLost": true, "TermHandedOver": true, "TermYielded": true, "DependencyLost": true,
	"DependencyRegained": true, "EventsDropped": true, "Started": true, "Leaving": true, "Stopped": true, "WorkerLost": true,
}

// line is one event of one instance.
type line struct {
	at       time.Time
	instance string
	name     string
	text     string
	ofJob    bool
	raw      string
}

// Story collects lines. Its zero value is ready.
type Story struct {
	lines []line
	// Unreadable counts lines that are not events.
	Unreadable int
}

// Read adds the log of one instance.
func (s *Story) Read(instance string, r io.Reader) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "log of %s", instance)
		}
	}()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		s.add(instance, scanner.Bytes())
	}
	return scanner.Err()
}

func (s *Story) add(instance string, raw []byte) {
	// Collectors often put a time or a name before the line.
	if i := bytes.IndexByte(raw, '{'); i > 0 {
		raw = raw[i:]
	}
	var event struct {
		Time time.Time `json:"time"`
		Msg  string    `json:"msg"`
	}
	if json.Unmarshal(raw, &event) != nil || event.Msg == "" {
		s.Unreadable++
		return
	}
	s.lines = append(s.lines, line{at: event.Time, instance: instance, name: event.Msg, text: fields(raw), raw: string(raw)})
}

// fields returns the event's keys and values in their order.
func fields(raw []byte) string {
	var parts []string
	d := json.NewDecoder(bytes.NewReader(raw))
	if _, err := d.Token(); err != nil {
		return ""
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			break
		}
		var value json.RawMessage
		if d.Decode(&value) != nil {
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

// Write tells what happened to a job, in order of time. Gaps are named: what
// happened in them was not logged, or happened where no log was given.
func (s *Story) Write(w io.Writer, job string) error {
	chosen := s.choose(job)
	if len(chosen) == 0 {
		return errors.Wrapf(ErrNoLines, "job %s", job)
	}
	for i, l := range chosen {
		if i > 0 && l.at.Sub(chosen[i-1].at) > gapAfter {
			fmt.Fprintf(w, "%12s  no line for %s\n", "", l.at.Sub(chosen[i-1].at).Round(time.Millisecond))
		}
		if _, err := fmt.Fprintf(w, "%s  %-18s %-20s %s\n", l.at.UTC().Format("15:04:05.000"), l.instance, l.name, l.text); err != nil {
			return err
		}
	}
	return nil
}

// choose returns the lines about the job and those around it that concern all.
func (s *Story) choose(job string) (chosen []line) {
	slices.SortStableFunc(s.lines, func(a, b line) int { return a.at.Compare(b.at) })
	first, last := -1, -1
	for i := range s.lines {
		s.lines[i].ofJob = strings.Contains(s.lines[i].raw, job)
		if s.lines[i].ofJob {
			last = i
			if first < 0 {
				first = i
			}
		}
	}
	if first < 0 {
		return nil
	}
	for _, l := range s.lines[first : last+1] {
		if l.ofJob || contextEvents[l.name] {
			chosen = append(chosen, l)
		}
	}
	return chosen
}
