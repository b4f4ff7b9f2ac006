package scheduler

import (
	"fmt"

	"daisyhead/internal/workload/packer"
)

const (
	// maxAdviceWorkers is how many workers one call asks about: the call takes longer
	// for each of them.
	maxAdviceWorkers = 30
	// adviceRetryMS is the pause after a call that was refused or not answered.
	adviceRetryMS = 500
	// permitMarginMS is kept of a permit's validity for the start to arrive.
	permitMarginMS = 300
)

// stepPermits are the workers that may run a step, by the advice of a service
// outside. Which they are does not change; each permit runs out.
type stepPermits struct {
	// verdicts are workers that the service was verdicts about, with its verdict.
	verdicts map[string]bool
	// tickets are valid until untilMS, in one life of their worker.
	tickets         map[string]permit
	requestInFlight bool
	nextRequestMS   int64
}

type permit struct {
	ticket       string
	incarnation  int64
	validUntilMS int64
}

// valid reports whether a start that is sent now is accepted with the permit.
func (p permit) valid(w *worker, nowMS int64) bool {
	return p.ticket != "" && p.incarnation == w.incarnation && nowMS+permitMarginMS < p.validUntilMS
}

// restrictToPermitted closes the nodes for which the step has no permit, and asks for more
// if those that are left do not hold the request.
func (m *Model) restrictToPermitted(p *plan, c candidate, nodes []packer.Node, r packer.Request) []packer.Node {
	s := c.step
	if s.permits == nil {
		s.permits = &stepPermits{verdicts: map[string]bool{}, tickets: map[string]permit{}}
	}
	open := append([]packer.Node{}, nodes...)
	var unasked, expired []string
	for i, w := range p.workers {
		good, asked := s.permits.verdicts[w.ID]
		switch {
		case nodes[i].Closed:
		case s.permits.tickets[w.ID].valid(w, m.now.MonoMS):
			continue
		case !asked:
			unasked = append(unasked, w.ID)
		case good:
			expired = append(expired, w.ID)
		}
		open[i].Closed = true
	}
	if _, ok := packer.Place(open, r); !ok {
		m.requestPermits(s, append(expired, unasked...))
	}
	return open
}

// requestPermits asks which of the workers may run the step.
func (m *Model) requestPermits(s *step, workers []string) {
	if s.permits.requestInFlight || m.now.MonoMS < s.permits.nextRequestMS || len(workers) == 0 {
		return
	}
	s.permits.requestInFlight = true
	cmd := AdviseCmd{Step: StepRef{Job: s.job.id, Occurrence: s.occurrence.number, Step: s.index}, Workers: workers[:min(len(workers), maxAdviceWorkers)]}
	m.event("AdviceAsked", "Job", s.job.id, "Step", s.index, "Workers", len(cmd.Workers))
	m.emit(cmd)
}

// handleAdvised takes the permits that the service has given.
func (m *Model) handleAdvised(msg AdvisedMsg) {
	j, ok := m.jobs[msg.Step.Job]
	if !ok || msg.Step.Occurrence >= len(j.occurrences) {
		return
	}
	s := j.occurrences[msg.Step.Occurrence].steps[msg.Step.Step]
	if s.permits == nil {
		return
	}
	s.permits.requestInFlight = false
	if msg.Err != "" {
		s.permits.nextRequestMS = m.now.MonoMS + adviceRetryMS
		m.event("AdviceUnanswered", "Job", j.id, "Step", s.index, "Error", msg.Err)
		return
	}
	for _, id := range msg.Workers {
		s.permits.verdicts[id] = false
	}
	for _, p := range msg.Permits {
		s.permits.verdicts[p.Worker] = true
		if w, ok := m.workers[p.Worker]; ok {
			s.permits.tickets[p.Worker] = permit{ticket: p.Ticket, incarnation: w.incarnation, validUntilMS: msg.AskedMS + msg.ValidMS}
		}
	}
	m.event("AdviceTaken", "Job", j.id, "Step", s.index, "Good", len(msg.Permits), "Asked", len(msg.Workers), "ValidMS", msg.ValidMS)
	m.dirty = true
}

// ticket returns the permit's ticket for a start, or "" where none is needed.
func (m *Model) ticket(r *run) string {
	if r.unit.step.permits == nil {
		return ""
	}
	return r.unit.step.permits.tickets[r.worker.ID].ticket
}

// StepRef names a step of one occurrence of a job.
type StepRef struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns the form JOB.OCCURRENCE.STEP.
func (s StepRef) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step) }
