package scheduler

import (
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
	"daisyhead/internal/workload/ranker"
	"daisyhead/internal/workload/reducer"
	"daisyhead/internal/workload/sequencer"
)

const (
	// backlogAgeMS is the age up to which the backlog of the last pass counts for admission:
	// several passes. Without passes, nothing is known about the queue.
	backlogAgeMS = 1000
	// admissionPauseMS is the time after a change of the holder in which no job is refused. The
	// new holder asks all workers first, so their capacity is not known yet.
	admissionPauseMS = 5000
	// admissionPlanAgeMS is how long a plan is used to check for free capacity. In a fleet of
	// 1,100 workers a plan takes about a millisecond.
	admissionPlanAgeMS = 100
)

// reasonTooLate is the reason of a refusal.
const reasonTooLate = "the job would end too late to be of use"

// refusal is the decision to refuse a job, and when its caller should return.
type refusal struct {
	reason       string
	retryAfterMS int64
}

// refuses reports whether a submission is to be refused because the job can't end before it
// has lost all value, by the work that waits before it. Jobs without a value that ends are
// accepted, as are urgent jobs that may fit into their workspace's guarantee.
func (m *Model) refuses(sub reducer.Submission) (r refusal, refuse bool) {
	q := sub.Queue
	if current, ok := m.Config.Queue(q.Name); ok {
		q = current
	}
	b := m.sequencing.backlogs[q.Service]
	if b == nil || m.now.MonoMS-m.sequencing.backlogsMS > backlogAgeMS || m.now.MonoMS-m.term.takenOverMS < admissionPauseMS || m.jobs[sub.Job.ID] != nil || sub.Job.Schedule.Count > 0 {
		return r, false
	}
	for _, s := range sub.Job.Steps {
		unitTasks := 1
		if s.Gang {
			unitTasks = s.Count
		}
		if s.Perpetual || q.Priority == 0 && unitTasks*s.Reserved().Accelerators <= m.Config.Guaranteed(sub.Job.Workspace) {
			return r, false
		}
	}
	j := &job{id: sub.Job.ID, submission: sub}
	o := &occurrence{}
	for i, s := range sub.Job.Steps {
		o.steps = append(o.steps, &step{job: j, occurrence: o, index: i, spec: s, unfinishedUnits: 1, waitingUnits: unitsOf(s.Count, s.Gang)})
	}
	key := m.rankStep(o.steps[0], q, nil)
	d := m.demandOf(o, m.sequencing.estimates.Factor(q.Name))
	item := m.itemOf(b, d, key, sub.AcceptedMS, m.valueOf(sub.Job, q.Name))
	item.OverShare = b.over[sub.Job.Workspace]
	g, ahead := m.groupFor(b, key)
	load := sequencer.Load{NowMS: m.now.WallMS, Ahead: ahead}
	var items []sequencer.Item
	if g != nil {
		load, items = g.load, g.items
	}
	atMost := load.Ahead
	for _, it := range items {
		atMost += it.Work
	}
	if !sequencer.Hopeless(item, m.now.WallMS, atMost) {
		m.addToGroup(g, item, o)
		return r, false
	}
	items = append(items[:len(items):len(items)], item)
	load.NowMS = m.now.WallMS
	for _, place := range sequencer.Order(sequencer.DensityOfKept, items, load) {
		if place.Index == len(items)-1 {
			ahead = place.Ahead
		}
	}
	if !sequencer.Hopeless(item, m.now.WallMS, ahead) || m.fitsNow(o, q) {
		m.addToGroup(g, item, o)
		return r, false
	}
	if m.sequencing.refused == nil {
		m.sequencing.refused = map[string]int{}
	}
	m.sequencing.refused["TooLate"]++
	waitMS := ahead - float64(item.LatestStartMS-m.now.WallMS)
	return refusal{reason: reasonTooLate, retryAfterMS: m.sequencing.returns.After(q.Name, m.now.WallMS, waitMS, item.Work)}, true
}

// unitsOf returns the number of units of a step.
func unitsOf(count int, gang bool) int {
	if gang {
		return 1
	}
	return count
}

// groupFor returns the waiting work of the precedence of the key, nil if there is none, and
// the work of higher precedence.
func (m *Model) groupFor(b *backlog, key ranker.Key) (g *backlogGroup, ahead float64) {
	for _, other := range b.groups {
		switch c := ranker.Precedence(other.key, key); {
		case c == 0:
			return other, other.load.Ahead
		case c > 0:
			return nil, ahead
		}
		ahead = other.aheadAfter
	}
	return nil, ahead
}

// addToGroup counts an accepted job until the next pass.
func (m *Model) addToGroup(g *backlogGroup, item sequencer.Item, o *occurrence) {
	if g != nil {
		g.items, g.occurrences = append(g.items, item), append(g.occurrences, o)
		g.aheadAfter += item.Work
	}
}

// fitsNow reports whether a unit of the first steps of the job would find a place at present.
func (m *Model) fitsNow(o *occurrence, q describer.Queue) bool {
	if m.sequencing.admissionPlan == nil || m.now.MonoMS-m.sequencing.admissionPlanMS > admissionPlanAgeMS {
		m.sequencing.admissionPlan, m.sequencing.admissionPlanMS = m.newPlan(), m.now.MonoMS
		m.sequencing.admissionPlan.reserveHeadroom()
	}
	p := m.sequencing.admissionPlan
	for _, s := range o.steps {
		if len(s.spec.After) > 0 {
			continue
		}
		if _, ok := packer.Place(m.nodesFor(p, s, q), m.requestFor(s, q)); ok {
			return true
		}
	}
	return false
}
