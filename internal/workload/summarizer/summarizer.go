// Package summarizer counts what the logs of many instances say of a span of time: who
// decided when, which dependencies were away, how many jobs ended how, how long they
// waited, what was stopped and why, and what was refused. Its memory grows with the number
// of jobs, not with the logs.
//
//	var s summarizer.Summary
//	err := s.AddLog("entry-1", file)
//	fmt.Println(s.Jobs["render"].Ended["Completed"])
package summarizer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes limits the length of a log line. AddLog fails at a longer one.
	maxLineBytes = 1 << 20
	// maxWaitMS is the longest wait that the histogram tells from longer ones: an hour.
	maxWaitMS = 3_600_000
)

// Summary is the result. The zero value is ready to use.
type Summary struct {
	// From and To are the times of the first and the last line.
	From, To time.Time
	// Lines counts the events, Unreadable the lines that are none.
	Lines, Unreadable int
	// Terms lists the takeovers, sorted by time.
	Terms []Term
	// Outages holds the outages of each dependency.
	Outages map[string]*Outage
	// Jobs holds the jobs of each queue.
	Jobs map[string]*Queue
	// Stops holds the stops of units by reason. Names of jobs and workers are left out.
	Stops map[string]*Stop
	// Refusals counts the calls of callers that were refused, by reason. Calls that another
	// instance passed on are left out.
	Refusals map[string]int
	// Waits counts how often a job began to wait, by reason.
	Waits map[string]int
	// Workers counts the events of workers by name.
	Workers map[string]int

	// queueOf holds the queue of each job, with startedSuffix once the job has started.
	queueOf map[string]string
}

// Term is one change of the holder.
type Term struct {
	At       time.Time
	Number   int
	Instance string
}

// Outage sums up the times in which a dependency did not answer.
type Outage struct {
	// Instances counts the instances that lost it, Times how often they did.
	Instances, Times int
	// First and Last are when it was lost first and last.
	First, Last time.Time

	seen map[string]bool
}

// Queue sums up the jobs of one queue.
type Queue struct {
	// Seen counts the jobs, Ended those that ended, by state.
	Seen  int
	Ended map[string]int
	// Started counts the jobs of which a task has started. Waits holds the times in
	// milliseconds from the acceptance to the first start at the 50th and 95th percentile
	// and at the longest.
	Started int
	Waits   Percentiles

	histogram *hdrhistogram.Histogram
}

// Percentiles are in milliseconds.
type Percentiles struct{ P50, P95, Max int64 }

// Stop sums up the stops of units for one reason.
type Stop struct {
	Units int
	// LostCoreS is the work that was thrown away, in core-seconds.
	LostCoreS float64
}

// event is a log line. The fields are those of all events that are counted.
type event struct {
	Time            time.Time `json:"time"`
	Name            string    `json:"msg"`
	Job             string
	Queue           string
	State           string
	Reason          string
	Dependency      string
	Term            int
	Forwarded       bool
	SinceAcceptedMS int64
	LostCoreMS      float64
}

// workerEvents are the events of workers that are counted.
var workerEvents = map[string]bool{
	"WorkerListed": true, "WorkerUnlisted": true, "WorkerSilent": true, "WorkerLost": true, "WorkerSuspected": true, "WorkerSluggish": true,
	"WorkerRestarted": true, "RunsOverlap": true,
}

// AddLog adds the log of an instance. Lines may begin with a prefix.
func (s *Summary) AddLog(instance string, r io.Reader) (err error) {
	defer func() {
		if err != nil {
			err = errors.Wrapf(err, "read the log of %s", instance)
		}
	}()
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		raw := scanner.Bytes()
		if i := bytes.IndexByte(raw, '{'); i > 0 {
			raw = raw[i:]
		}
		var e event
		if json.Unmarshal(raw, &e) != nil || e.Name == "" {
			s.Unreadable++
			continue
		}
		s.add(instance, e)
	}
	s.finish()
	return scanner.Err()
}

// add counts one event.
func (s *Summary) add(instance string, e event) {
	s.init()
	s.Lines++
	if s.From.IsZero() || e.Time.Before(s.From) {
		s.From = e.Time
	}
	if e.Time.After(s.To) {
		s.To = e.Time
	}
	switch {
	case e.Name == "TermTaken":
		s.Terms = append(s.Terms, Term{At: e.Time, Number: e.Term, Instance: instance})
	case e.Name == "DependencyLost":
		s.addOutage(instance, e)
	case e.Name == "JobSeen":
		if _, again := s.queueOf[e.Job]; !again {
			s.queueOf[e.Job] = e.Queue
			s.queue(e.Queue).Seen++
		}
	case e.Name == "UnitStarted":
		s.addStart(e)
	case e.Name == "JobEnded":
		s.queue(s.queueOf[e.Job]).Ended[e.State]++
	case e.Name == "UnitStopping":
		stop := s.Stops[generalReason(e.Reason)]
		if stop == nil {
			stop = &Stop{}
			s.Stops[generalReason(e.Reason)] = stop
		}
		stop.Units++
		stop.LostCoreS += e.LostCoreMS / 1000
	case e.Name == "JobWaits":
		s.Waits[e.Reason]++
	case e.Name == "CallRefused" && !e.Forwarded:
		s.Refusals[generalReason(e.Reason)]++
	case workerEvents[e.Name]:
		s.Workers[e.Name]++
	}
}

func (s *Summary) init() {
	if s.queueOf != nil {
		return
	}
	s.Outages, s.Jobs, s.Stops = map[string]*Outage{}, map[string]*Queue{}, map[string]*Stop{}
	s.Refusals, s.Waits, s.Workers = map[string]int{}, map[string]int{}, map[string]int{}
	s.queueOf = map[string]string{}
}

func (s *Summary) addOutage(instance string, e event) {
	o := s.Outages[e.Dependency]
	if o == nil {
		o = &Outage{First: e.Time, seen: map[string]bool{}}
		s.Outages[e.Dependency] = o
	}
	o.Times++
	if !o.seen[instance] {
		o.seen[instance] = true
		o.Instances++
	}
	if e.Time.Before(o.First) {
		o.First = e.Time
	}
	if e.Time.After(o.Last) {
		o.Last = e.Time
	}
}

// startedSuffix marks a job in queueOf whose first start has been counted.
const startedSuffix = "\x00started"

// addStart counts the first start of a job.
func (s *Summary) addStart(e event) {
	name, known := s.queueOf[e.Job]
	if !known || strings.HasSuffix(name, startedSuffix) {
		return
	}
	s.queueOf[e.Job] = name + startedSuffix
	q := s.queue(name)
	q.Started++
	// The histogram takes any value between its limits.
	_ = q.histogram.RecordValue(min(max(e.SinceAcceptedMS, 0), maxWaitMS))
}

// queue returns the queue with a name, which may be marked.
func (s *Summary) queue(name string) *Queue {
	name = strings.TrimSuffix(name, startedSuffix)
	q := s.Jobs[name]
	if q == nil {
		q = &Queue{Ended: map[string]int{}, histogram: hdrhistogram.New(1, maxWaitMS, 3)}
		s.Jobs[name] = q
	}
	return q
}

// finish sorts the terms and computes the percentiles.
func (s *Summary) finish() {
	slices.SortFunc(s.Terms, func(a, b Term) int { return a.At.Compare(b.At) })
	for _, q := range s.Jobs {
		q.Waits = Percentiles{P50: q.histogram.ValueAtQuantile(50), P95: q.histogram.ValueAtQuantile(95), Max: q.histogram.Max()}
	}
}

// specific matches the parts of a reason that name one job, worker or holder.
var specific = regexp.MustCompile(`(for job|worker|by|of|to) \S*\d\S*|: .*`)

// generalReason returns the reason without names, so that equal reasons count together.
func generalReason(reason string) string {
	return specific.ReplaceAllStringFunc(reason, func(found string) string {
		word, _, _ := strings.Cut(found, " ")
		if strings.HasPrefix(found, ": ") {
			return ""
		}
		return word + " …"
	})
}
