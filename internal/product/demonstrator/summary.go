package demonstrator

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/entry/presenter"
	"daisyhead/internal/ledger/reducer"
	"daisyhead/internal/product/printer"
	"daisyhead/internal/standin/observer"
)

// Summary holds the results of a demonstration. The counts from RanTwice to
// LimitsExceeded are violations, taken from the records of the stand-ins and of
// the simulated callers rather than from the instances.
type Summary struct {
	Site               string
	Jobs               int
	Finished           int
	Refused            int
	Cancelled          int
	Failed             int
	Unknown            int
	Unfinished         int
	RanTwice           int
	PartialGangs       int
	StartsInOutDomains int
	GuaranteesMissed   int
	CutRequests        int
	WrongAnswers       int
	LimitsExceeded     int
	Requests           int
	RequestsAnswered   int
	LedgerAppends      int
	TookSeconds        float64
	Details            []string `json:",omitempty"`

	table printer.Table
}

// Held reports whether the invariants held: no violation was counted and every job
// ended as finished, refused or cancelled.
func (s Summary) Held() bool {
	violations := s.RanTwice + s.PartialGangs + s.StartsInOutDomains + s.GuaranteesMissed + s.CutRequests + s.WrongAnswers + s.LimitsExceeded
	return violations == 0 && s.Finished+s.Refused+s.Cancelled == s.Jobs
}

// Table returns the human-readable form, with one row for each job.
func (s Summary) Table() printer.Table { return s.table }

// summarize computes the summary from the final jobs and the recorded events.
func (d *demo) summarize(ctx context.Context) (s Summary, err error) {
	list, err := d.finalJobs(ctx)
	if err != nil {
		return s, err
	}
	counts := countByStatus(list)
	executions := d.fleet.executionsByKey()
	report := observer.CheckInvariants(d.fleet.events(), observer.Rules{
		PartialBound: partialGangLimit, DomainBound: DomainOutGracePeriod, Outages: d.fleet.outages, Domains: d.fleet.domainOfWorker,
	})
	traffic := d.callers.counts
	s = Summary{
		Site: d.options.Site, Jobs: len(d.jobs), Finished: counts[reducer.JobFinished], Refused: counts[reducer.JobRefused],
		Cancelled: counts[reducer.JobCancelled], Failed: counts[reducer.JobFailed], Unknown: counts[reducer.JobUnknown],
		RanTwice: report.RanTwice + countRepeated(executions), PartialGangs: report.PartialGangs, StartsInOutDomains: report.StartsInOutDomains,
		GuaranteesMissed: d.countGuaranteesMissed(), CutRequests: traffic.Cut, WrongAnswers: traffic.Wrong + d.callers.countWrongNotRun(executions),
		LimitsExceeded: d.fleet.countLimitsExceeded(), Requests: traffic.Sent, RequestsAnswered: traffic.Answered,
		LedgerAppends: d.platform.log.Appends(), TookSeconds: time.Since(d.startTime).Round(100 * time.Millisecond).Seconds(),
		Details: append(report.Details, traffic.Details...),
	}
	s.Unfinished = s.Jobs - s.Finished - s.Refused - s.Cancelled - s.Failed - s.Unknown
	s.table = summaryTable(s, list)
	return s, nil
}

// partialGangLimit is the total time for which only a part of a gang may run: the
// first lease of a gang, StartLease, plus a margin.
const partialGangLimit = 6 * time.Second

// finalJobs reads the jobs, even if MaxDuration has passed.
func (d *demo) finalJobs(ctx context.Context) ([]presenter.Job, error) {
	readCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 3*time.Second)
	defer cancel()
	list, err := d.client.Jobs(readCtx, presenter.JobFilter{})
	return list.Jobs, err
}

// countRepeated counts the keys that were executed more than once.
func countRepeated(executions map[string]int) int {
	n := 0
	for _, count := range executions {
		if count > 1 {
			n++
		}
	}
	return n
}

// countGuaranteesMissed counts the jobs with a guarantee whose first attempt didn't
// run with all tasks within GuaranteeTimeout, by the records of the workers.
func (d *demo) countGuaranteesMissed() int {
	wholeAt := map[string]time.Time{}
	tasks := map[string]int{}
	for _, e := range d.fleet.events() {
		if e.Kind != observer.KindStarted || e.Attempt != 1 {
			continue
		}
		tasks[e.Job] += e.Tasks
		if tasks[e.Job] == e.GangTasks {
			wholeAt[e.Job] = e.At
		}
	}
	missed := 0
	for id, submittedAt := range d.guaranteedSince {
		if whole, ok := wholeAt[id]; !ok || whole.Sub(submittedAt) > GuaranteeTimeout {
			missed++
		}
	}
	return missed
}

func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// summaryTable lists the jobs, oldest first, above the counts and the details of
// violations.
func summaryTable(s Summary, jobs []presenter.Job) printer.Table {
	t := printer.Table{Head: []string{"JOB", "WORKSPACE", "STATUS", "OUTCOME", "ATTEMPTS", "WAITED", "WHY"}}
	for i := len(jobs) - 1; i >= 0; i-- {
		j := jobs[i]
		waited := "-"
		if j.StartedAt != nil {
			waited = j.StartedAt.Sub(j.SubmittedAt).Round(10 * time.Millisecond).String()
		}
		t.Add(j.Name, j.Workspace, j.Status, j.Outcome, j.Attempts, waited, j.Reason)
	}
	t.Foot = fmt.Sprintf("\n%d jobs: %d finished, %d refused, %d cancelled, %d failed, %d unknown, %d unfinished; %d requests, %d answered; %d appends; %.1f s\n"+
		"Violations: ran twice %d, partial gangs %d, starts in domains that were out %d, guarantees missed %d, cut requests %d, wrong answers %d, minions' limits exceeded %d",
		s.Jobs, s.Finished, s.Refused, s.Cancelled, s.Failed, s.Unknown, s.Unfinished, s.Requests, s.RequestsAnswered, s.LedgerAppends, s.TookSeconds,
		s.RanTwice, s.PartialGangs, s.StartsInOutDomains, s.GuaranteesMissed, s.CutRequests, s.WrongAnswers, s.LimitsExceeded)
	for _, d := range s.Details {
		t.Foot += "\n  " + d
	}
	return t
}
