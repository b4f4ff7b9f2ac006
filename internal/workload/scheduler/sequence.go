package scheduler

import (
	"cmp"
	"maps"
	"slices"

	"daisyhead/internal/workload/corrector"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/ranker"
	"daisyhead/internal/workload/sequencer"
)

// sequencing is the state of the order under scarcity. It is learned anew by each holder.
type sequencing struct {
	// estimates corrects the run times that callers estimate.
	estimates corrector.Corrector
	// meanWork is the mean work of the jobs of each queue.
	meanWork map[string]mean
	// backlogs are the services in which not all waiting work fits, as of backlogsMS.
	backlogs   map[string]*backlog
	backlogsMS int64
	returns    sequencer.Returns
	// admissionPlan is the plan for checks of free capacity, as of admissionPlanMS.
	admissionPlan   *plan
	admissionPlanMS int64
	// delayed and refused count jobs by reason.
	delayed, refused map[string]int
}

// mean is the mean of the values added so far.
type mean struct {
	sum   float64
	count int
}

func (m mean) value() float64 { return m.sum / float64(max(m.count, 1)) }

// backlog is the waiting work of one service, by precedence.
type backlog struct {
	// room is the capacity of the workers that get tasks, also of those that get none at
	// present but are expected to get some again soon. free is what can be used at once.
	room, free describer.Resources
	groups     []*backlogGroup
	// scarcest is the index of the scarcest resource; see amounts.
	scarcest int
	// use is what each workspace has running, agedUse what aged jobs have.
	use     map[string]describer.Resources
	agedUse describer.Resources
	// over are the workspaces that use more than their share.
	over   map[string]bool
	scarce bool
}

// backlogGroup is the waiting work of one precedence, one item for each occurrence.
type backlogGroup struct {
	key         ranker.Key
	occurrences []*occurrence
	items       []sequencer.Item
	load        sequencer.Load
	// aheadAfter is the work that waits once the group has been added to load.Ahead.
	aheadAfter float64
}

// demand is the waiting work of an occurrence: the resources that its ready units need
// together, and the resource-milliseconds of all its waiting units.
type demand struct {
	width [resourceKinds]float64
	work  [resourceKinds]float64
}

// queuePlace is the place of an occurrence in the order of its service.
type queuePlace struct {
	// position counts the occurrences of the service that go before it.
	position int
	class    sequencer.Class
	aheadMS  int64
	// before is the job that goes directly before it, "" if there is none.
	before string
}

// resourceKinds is the number of resources in amounts.
const resourceKinds = 3

// amounts returns the resources as a list.
func amounts(r describer.Resources) [resourceKinds]float64 {
	return [resourceKinds]float64{float64(r.CPU), float64(r.MemoryMB), float64(r.Accelerators)}
}

// accelerators is the index of the accelerators in amounts.
const accelerators = 2

// learnEstimate compares the run times of a completed step with the caller's estimate.
func (m *Model) learnEstimate(s *step) {
	took := slices.Clone(s.memberTimesMS)
	for _, d := range s.durations {
		took = append(took, d.TookMS)
	}
	m.sequencing.estimates.Add(s.job.submission.Queue.Name, s.spec.EstimateMS, corrector.Median(took))
}

// estimatedWork returns the job's work in core-milliseconds, as its caller estimates it.
func estimatedWork(j describer.Job) (work float64) {
	for _, s := range j.Steps {
		work += float64(s.Count) * float64(s.Reserved().MilliCores()) * float64(s.EstimateMS) / 1000
	}
	return work
}

// noteWork adds the job's work to the mean of its queue.
func (m *Model) noteWork(j *job) {
	if m.sequencing.meanWork == nil {
		m.sequencing.meanWork = map[string]mean{}
	}
	name := j.submission.Queue.Name
	mw := m.sequencing.meanWork[name]
	m.sequencing.meanWork[name] = mean{mw.sum + estimatedWork(j.submission.Job), mw.count + 1}
}

// The value of a job for its caller has a fixed part, and a part that grows with its work
// relative to the mean of its queue, up to a limit.
const (
	fixedValue = 0.3
	workValue  = 0.7
	maxValue   = 4
)

func (m *Model) valueOf(j describer.Job, queue string) float64 {
	meanWork := m.sequencing.meanWork[queue].value()
	if meanWork <= 0 {
		return fixedValue + workValue
	}
	return min(fixedValue+workValue*estimatedWork(j)/meanWork, maxValue)
}

// demandOf returns the waiting work of the occurrence.
func (m *Model) demandOf(o *occurrence, factor float64) (d demand) {
	for _, s := range o.steps {
		if s.waitingUnits == 0 {
			continue
		}
		tasks := s.waitingUnits
		if s.spec.Gang {
			tasks *= s.spec.Count
		}
		ready := s.ready(m.now.WallMS)
		for k, need := range amounts(s.spec.Reserved()) {
			d.work[k] += float64(tasks) * need * factor * float64(s.spec.EstimateMS)
			if ready {
				d.width[k] += float64(tasks) * need
			}
		}
	}
	return d
}

// sequence puts the candidates, which are in order of rank, into the order under scarcity
// wherever a service lacks capacity for all of them. It keeps the order of precedences.
func (m *Model) sequence(found []candidate, p *plan) {
	type member struct {
		occurrence *occurrence
		key        ranker.Key
	}
	m.sequencing.backlogs, m.sequencing.backlogsMS = map[string]*backlog{}, m.now.MonoMS
	demands := map[*occurrence]demand{}
	widths, works := map[string]*[resourceKinds]float64{}, map[string]*[resourceKinds]float64{}
	members := map[string][]member{}
	for _, c := range found {
		o := c.step.occurrence
		o.place = queuePlace{}
		if _, known := demands[o]; known {
			continue
		}
		service := c.queue.Service
		if widths[service] == nil {
			widths[service], works[service] = &[resourceKinds]float64{}, &[resourceKinds]float64{}
		}
		d := m.demandOf(o, m.sequencing.estimates.Factor(c.queue.Name))
		demands[o] = d
		for k := range resourceKinds {
			widths[service][k] += d.width[k]
			works[service][k] += d.work[k]
		}
		members[service] = append(members[service], member{o, c.key})
	}
	for service, width := range widths {
		b := &backlog{use: map[string]describer.Resources{}}
		if c := p.capacity[service]; c != nil {
			b.room, b.free = c.room, c.free
		}
		free, room := amounts(b.free), amounts(b.room)
		for k := range resourceKinds {
			b.scarce = b.scarce || width[k] > free[k]
			if room[k] > 0 && (room[b.scarcest] == 0 || works[service][k]/room[k] > works[service][b.scarcest]/room[b.scarcest]) {
				b.scarcest = k
			}
		}
		if b.scarce && room[b.scarcest] > 0 {
			m.sequencing.backlogs[service] = b
		}
	}
	if len(m.sequencing.backlogs) == 0 {
		return
	}
	m.addUse(p)
	for _, service := range slices.Sorted(maps.Keys(m.sequencing.backlogs)) {
		b := m.sequencing.backlogs[service]
		b.over = m.overShare(b, found, service)
		for _, mb := range members[service] {
			if n := len(b.groups); n == 0 || ranker.Precedence(b.groups[n-1].key, mb.key) != 0 {
				b.groups = append(b.groups, &backlogGroup{key: mb.key})
			}
			g := b.groups[len(b.groups)-1]
			j := mb.occurrence.job()
			item := m.itemOf(b, demands[mb.occurrence], mb.key, mb.occurrence.acceptedMS(), m.valueOf(j.submission.Job, j.submission.Queue.Name))
			doneMS := mb.occurrence.donePathMS(m.sequencing.estimates.Factor(j.submission.Queue.Name))
			item.LatestStartMS, item.LastUsefulStartMS = item.LatestStartMS+doneMS, item.LastUsefulStartMS+doneMS
			item.OverShare = b.over[j.submission.Job.Workspace]
			g.occurrences, g.items = append(g.occurrences, mb.occurrence), append(g.items, item)
		}
		m.orderBacklog(b)
		reorder(found, service)
	}
}

// reorder sorts the candidates of the service by precedence and place, and leaves those of
// other services where they are.
func reorder(found []candidate, service string) {
	var indexes []int
	for i, c := range found {
		if c.queue.Service == service {
			indexes = append(indexes, i)
		}
	}
	sorted := slices.Clone(indexes)
	slices.SortStableFunc(sorted, func(a, b int) int {
		return cmp.Or(ranker.Precedence(found[a].key, found[b].key), cmp.Compare(found[a].step.occurrence.place.position, found[b].step.occurrence.place.position))
	})
	own := make([]candidate, 0, len(sorted))
	for _, i := range sorted {
		own = append(own, found[i])
	}
	for k, i := range indexes {
		found[i] = own[k]
	}
}

// itemOf describes a waiting job to the sequencer.
func (m *Model) itemOf(b *backlog, d demand, key ranker.Key, acceptedMS int64, value float64) sequencer.Item {
	room := amounts(b.room)[b.scarcest]
	return sequencer.Item{
		AcceptedMS: acceptedMS, LatestStartMS: key.LatestStartMS, LastUsefulStartMS: key.LastUsefulStartMS,
		Work: d.work[b.scarcest] / room, Width: d.width[b.scarcest] / room, Value: value,
	}
}

// orderBacklog orders the groups of a service and notes each occurrence's place.
func (m *Model) orderBacklog(b *backlog) {
	room := amounts(b.room)[b.scarcest]
	free := max(amounts(b.free)[b.scarcest]/room, 0)
	var ahead float64
	position := 0
	before := ""
	for _, g := range b.groups {
		usable := free
		if g.key.Priority > 0 && b.scarcest == accelerators {
			usable = max(free-1.0/headroomDivisor, 0)
		}
		g.load = sequencer.Load{NowMS: m.now.WallMS, Free: usable, Ahead: ahead, AgedUse: amounts(b.agedUse)[b.scarcest] / room}
		for _, place := range sequencer.Order(sequencer.DensityOfKept, g.items, g.load) {
			o := g.occurrences[place.Index]
			o.place = queuePlace{position: position, class: place.Class, aheadMS: int64(place.Ahead), before: before}
			o.aged = o.aged || sequencer.Aged(g.items[place.Index], m.now.WallMS)
			position, before = position+1, o.job().id
			if place.Delayed {
				m.countDelayed(o, "Scarcity")
			}
			if place.OverShare {
				m.countDelayed(o, "Share")
			}
		}
		for _, it := range g.items {
			if it.Width <= free {
				free -= it.Width
				continue
			}
			ahead += it.Work
		}
		g.aheadAfter = ahead
	}
}

// countDelayed counts and logs that the occurrence waits behind later ones, once.
func (m *Model) countDelayed(o *occurrence, reason string) {
	if o.delayed {
		return
	}
	o.delayed = true
	if m.sequencing.delayed == nil {
		m.sequencing.delayed = map[string]int{}
	}
	m.sequencing.delayed[reason]++
	m.event("JobDelayed", "Job", o.job().id, "Occurrence", o.number, "Reason", reason, "Class", o.place.class.String(), "AheadMS", o.place.aheadMS)
}

// addUse adds up what runs in the services that have a backlog.
func (m *Model) addUse(p *plan) {
	for _, w := range p.workers {
		b := m.sequencing.backlogs[w.Service]
		if b == nil {
			continue
		}
		if cause := m.closedCause(w); cause != "" && !quarantine(cause) && m.mayReopen(w) {
			b.room = b.room.Add(w.Room)
		}
		for _, r := range w.runs.list {
			if r.unit == nil {
				continue
			}
			b.use[r.unit.workspace()] = b.use[r.unit.workspace()].Add(r.need)
			if r.unit.step.occurrence.aged {
				b.agedUse = b.agedUse.Add(r.need)
			}
		}
	}
}

// overShare returns the workspaces that use more than their share of their dominant
// resource, if several have work running or waiting in the service.
func (m *Model) overShare(b *backlog, found []candidate, service string) map[string]bool {
	active := map[string]bool{}
	for name := range b.use {
		active[name] = true
	}
	for _, c := range found {
		if c.queue.Service == service {
			active[c.step.job.submission.Job.Workspace] = true
		}
	}
	if len(active) < 2 {
		return nil
	}
	weights := map[string]float64{}
	total := float64(len(active))
	for _, w := range m.Config.Workspaces {
		if active[w.Name] && w.Weight > 0 {
			weights[w.Name] = w.Weight
			total += w.Weight - 1
		}
	}
	over := map[string]bool{}
	room := amounts(b.room)
	for name, use := range b.use {
		weight := weights[name]
		if weight == 0 {
			weight = 1
		}
		for k, used := range amounts(use) {
			over[name] = over[name] || room[k] > 0 && used/room[k] > weight/total
		}
	}
	return over
}

// job returns the job that the occurrence belongs to.
func (o *occurrence) job() *job { return o.steps[0].job }

// acceptedMS returns since when the occurrence waits, on the wall clock.
func (o *occurrence) acceptedMS() int64 { return max(o.job().submission.AcceptedMS, o.dueMS) }

// donePathMS returns how much shorter the critical path is than at first, because steps are done.
func (o *occurrence) donePathMS(factor float64) int64 {
	if o.unfinishedSteps == len(o.steps) {
		return 0
	}
	steps := slices.Clone(o.job().submission.Job.Steps)
	wholeMS := ranker.CriticalPathMS(steps)
	for i, s := range o.steps {
		if s.unfinishedUnits == 0 {
			steps[i].EstimateMS = 0
		}
	}
	return int64(factor * float64(wholeMS-ranker.CriticalPathMS(steps)))
}

// QueueStats are counters of the order under scarcity, by reason.
type QueueStats struct{ Delayed, Refused map[string]int }

// QueueStats returns statistics for metrics.
func (m *Model) QueueStats() QueueStats {
	return QueueStats{Delayed: maps.Clone(m.sequencing.delayed), Refused: maps.Clone(m.sequencing.refused)}
}
