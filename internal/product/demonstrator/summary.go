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

// Summary is what came of a demonstration. The counts from RanTwice on come
// from what the stand-ins saw.
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

// Held reports whether every promise held and every job ended.
func (s Summary) Held() bool {
	broken := s.RanTwice + s.PartialGangs + s.StartsInOutDomains + s.GuaranteesMissed + s.CutRequests + s.WrongAnswers + s.LimitsExceeded
	return broken == 0 && s.Finished+s.Refused+s.Cancelled == s.Jobs
}

// Table returns the readable form.
func (s Summary) Table() printer.Table { return s.table }

func (d *demo) summarize(ctx context.Context) (s Summary, err error) {
	list, err := d.finalJobs(ctx)
	if err != nil {
		return s, err
	}
	counts := statusCounts(list)
	executions := d.fleet.executions()
	report := observer.CheckInvariants(d.fleet.events(), observer.Rules{
		PartialBound: partialBound, DomainBound: DomainBound, Outages: d.fleet.outages, Domains: d.fleet.domains,
	})
	seen := d.callers.counts
	s = Summary{
		Site: d.options.Site, Jobs: len(d.jobs), Finished: counts[reducer.JobFinished], Refused: counts[reducer.JobRefused],
		Cancelled: counts[reducer.JobCancelled], Failed: counts[reducer.JobFailed], Unknown: counts[reducer.JobUnknown],
		RanTwice: report.RanTwice + repeated(executions), PartialGangs: report.PartialGangs, StartsInOutDomains: report.StartsInOutDomains,
		GuaranteesMissed: d.missedClaims(), CutRequests: seen.Cut, WrongAnswers: seen.Wrong + d.callers.liesAbout(executions),
		LimitsExceeded: d.fleet.limitsExceeded(), Requests: seen.Sent, RequestsAnswered: seen.Answered,
		LedgerAppends: d.platform.log.Appends(), TookSeconds: time.Since(d.began).Round(100 * time.Millisecond).Seconds(),
		Details: append(report.Details, seen.Details...),
	}
	s.Unfinished = s.Jobs - s.Finished - s.Refused - s.Cancelled - s.Failed - s.Unknown
	s.table = summaryTable(s, list)
	return s, nil
}

// partialBound is the first lease of a gang with its margin.
const partialBound = 6 * time.Second

// finalJobs reads the jobs even when the time for the script has run out.
func (d *demo) finalJobs(ctx context.Context) ([]presenter.Job, error) {
	fctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 3*time.Second)
	defer cancel()
	list, err := d.client.Jobs(fctx, presenter.JobFilter{})
	return list.Jobs, err
}

func repeated(executions map[string]int) int {
	n := 0
	for _, count := range executions {
		if count > 1 {
			n++
		}
	}
	return n
}

// missedClaims counts the jobs with a guarantee whose gang did not run whole in
// time, by what the workers saw.
func (d *demo) missedClaims() int {
	started := map[string]time.Time{}
	tasks := map[string]int{}
	for _, e := range d.fleet.events() {
		if e.Kind != observer.KindStarted || e.Attempt != 1 {
			continue
		}
		tasks[e.Job] += e.Tasks
		if tasks[e.Job] == e.GangTasks {
			started[e.Job] = e.At
		}
	}
	missed := 0
	for id, at := range d.claimed {
		if when, ok := started[id]; !ok || when.Sub(at) > ClaimBound {
			missed++
		}
	}
	return missed
}

func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

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
		"Broken promises: ran twice %d, partial gangs %d, starts in domains that were out %d, guarantees missed %d, cut requests %d, wrong answers %d, minions' limits exceeded %d",
		s.Jobs, s.Finished, s.Refused, s.Cancelled, s.Failed, s.Unknown, s.Unfinished, s.Requests, s.RequestsAnswered, s.LedgerAppends, s.TookSeconds,
		s.RanTwice, s.PartialGangs, s.StartsInOutDomains, s.GuaranteesMissed, s.CutRequests, s.WrongAnswers, s.LimitsExceeded)
	for _, d := range s.Details {
		t.Foot += "\n  " + d
	}
	return t
}
