package scheduler

import (
	"fmt"
	"slices"

	"daisyhead/internal/workload/packer"
)

const (
	// maxAdviceWorkers is the number of workers that one call asks about. The duration
	// of a call grows with it.
	maxAdviceWorkers = 30
	// adviceRetryMS is the pause after a call that failed or got no answer.
	adviceRetryMS = 500
	// permitMarginMS is subtracted from a permit's validity, so that the start arrives
	// in time.
	permitMarginMS = 300
)

// stepPermits holds the advice of an external service on which workers may run a step.
// The set of permitted workers does not change, but each permit expires.
type stepPermits struct {
	// permitted tells, for each worker that the service was asked about, whether the
	// step may run there.
	permitted map[string]bool
	// latest holds the latest permit of each worker.
	latest          map[string]permit
	requestInFlight bool
	// nextRequestMS is the earliest time of the next call.
	nextRequestMS int64
}

// permit is valid until validUntilMS in one incarnation of its worker.
type permit struct {
	ticket       string
	incarnation  int64
	validUntilMS int64
}

// valid reports whether the worker accepts a start that is sent now with the permit.
func (p permit) valid(w *worker, nowMS int64) bool {
	return p.ticket != "" && p.incarnation == w.incarnation && nowMS+permitMarginMS < p.validUntilMS
}

// restrictToPermitted closes the nodes for which the step has no valid permit, if its
// queue is advised. If the nodes that stay open can't hold the request, it asks for more
// permits.
func (m *Model) restrictToPermitted(p *plan, c candidate, nodes []packer.Node, r packer.Request) []packer.Node {
	if !c.queue.Advised {
		return nodes
	}
	s := c.step
	if s.permits == nil {
		s.permits = &stepPermits{permitted: map[string]bool{}, latest: map[string]permit{}}
	}
	open := append([]packer.Node{}, nodes...)
	var unasked, expired []string
	for i, w := range p.workers {
		permitted, asked := s.permits.permitted[w.ID]
		switch {
		case nodes[i].Closed:
		case s.permits.latest[w.ID].valid(w, m.now.MonoMS):
			continue
		case !asked:
			unasked = append(unasked, w.ID)
		case permitted:
			expired = append(expired, w.ID)
		}
		open[i].Closed = true
	}
	if _, ok := packer.Place(open, r); !ok {
		m.requestPermits(s, append(expired, unasked...))
	}
	return open
}

// closeRefused closes the nodes that the advice service has refused for the step.
func (m *Model) closeRefused(p *plan, c candidate, nodes []packer.Node) []packer.Node {
	if c.step.permits == nil {
		return nodes
	}
	open := slices.Clone(nodes)
	for i, w := range p.workers {
		permitted, asked := c.step.permits.permitted[w.ID]
		open[i].Closed = open[i].Closed || asked && !permitted
	}
	return open
}

// requestPermits asks the advice service which of the workers may run the step.
func (m *Model) requestPermits(s *step, workers []string) {
	if s.permits.requestInFlight || m.now.MonoMS < s.permits.nextRequestMS || len(workers) == 0 {
		return
	}
	s.permits.requestInFlight = true
	cmd := AdviseCmd{Step: StepRef{Job: s.job.id, Occurrence: s.occurrence.number, Step: s.index}, Workers: workers[:min(len(workers), maxAdviceWorkers)]}
	m.event("AdviceAsked", "Job", s.job.id, "Step", s.index, "Workers", len(cmd.Workers))
	m.emit(cmd)
}

// handleAdvised stores the permits that the service has granted.
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
		s.permits.permitted[id] = false
	}
	for _, p := range msg.Permits {
		s.permits.permitted[p.Worker] = true
		if w, ok := m.workers[p.Worker]; ok {
			s.permits.latest[p.Worker] = permit{ticket: p.Ticket, incarnation: w.incarnation, validUntilMS: msg.AskedMS + msg.ValidMS}
		}
	}
	m.event("AdviceTaken", "Job", j.id, "Step", s.index, "Good", len(msg.Permits), "Asked", len(msg.Workers), "ValidMS", msg.ValidMS)
	m.passNeeded = true
}

// ticket returns the ticket of the permit for a start, or "" if none is needed.
func (m *Model) ticket(r *run) string {
	if r.unit.step.permits == nil {
		return ""
	}
	return r.unit.step.permits.latest[r.worker.ID].ticket
}

// StepRef identifies a step of one occurrence of a job.
type StepRef struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns the form JOB.OCCURRENCE.STEP.
func (s StepRef) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step) }
