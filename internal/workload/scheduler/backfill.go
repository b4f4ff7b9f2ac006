package scheduler

import (
	"slices"

	"daisyhead/internal/workload/backfiller"
	"daisyhead/internal/workload/describer"
	"daisyhead/internal/workload/packer"
	"daisyhead/internal/workload/ranker"
)

// backfill is capacity that is kept for a gang that does not fit yet. Work of a lower rank
// gets it only if it is expected to end in time. Urgent and perpetual work, and work of a
// higher rank, is not held back, and nothing is stopped for the gang.
type backfill struct {
	unit    *unit
	service string
	request packer.Request
	// workers holds one entry for each task of the gang.
	workers   []*worker
	createdMS int64
	// readyMS is when all tasks are expected to fit, giveUpMS when the capacity is given up
	// if most of it is not free then.
	readyMS, giveUpMS int64
}

const (
	// maxBackfills is how many gangs of a service have capacity kept for them at a time.
	maxBackfills = 2
	// backfillDivisor limits what is kept of a service's capacity, in each resource, to one
	// part in this many. With a third or half, single tasks of a lower priority lost 7 to
	// 9 per cent of their value in an overloaded fleet; with a quarter they lost nothing.
	backfillDivisor = 4
	// maxBackfillWaitMS is the longest expected wait for which capacity is kept. Over a
	// longer time the expected ends say little, and much capacity stands idle.
	maxBackfillWaitMS = 30000
	// backfillGraceMS is the least time after readyMS until the capacity is given up.
	backfillGraceMS = 2000
	// backfillPauseMS is the time in which nothing is kept for a gang whose capacity was
	// given up, so that others get their turn. backfillRetryMS is the least time between two
	// choices of workers for one gang.
	backfillPauseMS = 3000
	backfillRetryMS = 500
	// backfillEstimateFactor times its estimate is the time in which work of a lower rank is
	// expected to end. Estimates are rough: most tasks take up to twice as long.
	backfillEstimateFactor = 2
)

// Reasons for the end of a backfill, as the log names them.
const (
	// backfillPlaced: the gang has a place.
	backfillPlaced = "Placed"
	// backfillEnded: the gang or its job no longer waits.
	backfillEnded = "Ended"
	// backfillWorkerClosed: a worker leaves, or gets no new tasks when the gang should fit.
	backfillWorkerClosed = "WorkerClosed"
	// backfillOverdue: most of the capacity is not free although it should be.
	backfillOverdue = "Overdue"
	// backfillOutranked: a gang of a higher priority waits.
	backfillOutranked = "Outranked"
)

// backfillView is what a pass knows about capacity that is kept for gangs.
type backfillView struct {
	// workers are all workers with kept capacity. They don't become headroom, since the gang
	// could not use them then.
	workers map[int]bool
	// applied are the backfills of gangs that the pass has come to, and kept what they take
	// of each worker.
	applied []*backfill
	kept    map[int]describer.Resources
	// chosen is set once the pass has chosen workers, which it does for one gang at most: in a
	// full fleet of 1,100 workers a choice takes 0.8 ms, the rest of a pass 3.8 ms.
	chosen bool
	// unitEndMS caches the expected end of gangs.
	unitEndMS map[*unit]int64
}

// newBackfillView removes the backfills that no longer hold, and returns the rest as a pass
// sees it before it comes to the first gang.
func (m *Model) newBackfillView(p *plan) backfillView {
	v := backfillView{workers: map[int]bool{}, kept: map[int]describer.Resources{}, unitEndMS: map[*unit]int64{}}
	m.backfills = slices.DeleteFunc(m.backfills, func(b *backfill) bool {
		reason := m.backfillEnd(p, b)
		if reason != "" {
			m.logBackfillEnd(b, reason)
		}
		if reason == backfillOverdue {
			b.unit.noBackfillUntilMS = m.now.MonoMS + backfillPauseMS
		}
		return reason != ""
	})
	for _, b := range m.backfills {
		for _, w := range b.workers {
			v.workers[p.index[w]] = true
		}
	}
	return v
}

// backfillEnd returns why the backfill ends, or "" if it holds.
func (m *Model) backfillEnd(p *plan, b *backfill) string {
	j := b.unit.step.job
	switch {
	case j.ended || j.cancelled || m.jobs[j.id] != j:
		return backfillEnded
	case b.unit.state == unitRecording || b.unit.state == unitStarting || b.unit.state == unitRunning:
		return backfillPlaced
	case b.unit.state != unitWaiting || m.queue(j).Priority == 0 || m.queue(j).Service != b.service:
		return backfillEnded
	case slices.ContainsFunc(b.workers, func(w *worker) bool { return m.lostForBackfill(p, b, w) }):
		return backfillWorkerClosed
	case m.now.MonoMS >= b.giveUpMS && !(b.mostlyFree(p) && m.now.MonoMS < b.giveUpMS+b.giveUpMS-b.readyMS):
		return backfillOverdue
	}
	return ""
}

// lostForBackfill reports whether the gang can't count on the worker any more. A short silence
// or a quarantine does not matter before the gang is expected to fit.
func (m *Model) lostForBackfill(p *plan, b *backfill, w *worker) bool {
	_, inFleet := p.index[w]
	return !inFleet || !m.mayReopen(w) || !m.schedulable(w) && m.now.MonoMS >= b.readyMS
}

// mostlyFree reports whether at least three quarters of the tasks fit by now.
func (b *backfill) mostlyFree(p *plan) bool {
	free := map[*worker]describer.Resources{}
	fitting := 0
	for _, w := range b.workers {
		f, ok := free[w]
		if !ok {
			f = p.nodes[p.index[w]].Free
		}
		if f.Fits(b.request.Need) {
			fitting++
			f = f.Sub(b.request.Need)
		}
		free[w] = f
	}
	return fitting*4 >= len(b.workers)*3
}

func (m *Model) logBackfillEnd(b *backfill, reason string) {
	m.event("BackfillReleased", "Job", b.unit.id.Job, "Unit", b.unit.id.String(), "Reason", reason, "HeldMS", m.now.MonoMS-b.createdMS, "ExpectedMS", b.readyMS-b.createdMS)
}

// keepRoom keeps capacity from work of a lower rank if the candidate is a gang that has found no
// place.
func (m *Model) keepRoom(p *plan, c candidate) {
	u := c.step.firstWaiting()
	if !c.step.spec.Gang || c.step.spec.Perpetual || c.queue.Priority == 0 || c.queue.Advised || u == nil || u.heldBackSinceMS > 0 {
		return
	}
	b := m.backfillOf(u)
	if b == nil {
		b = m.newBackfill(p, c, u)
	}
	if b != nil {
		p.applyBackfill(b)
	}
}

// newBackfill chooses the workers for a gang, or returns nil if it is not its turn or nothing
// fits within the bounds. A gang whose job can earn no credit any more gets none.
func (m *Model) newBackfill(p *plan, c candidate, u *unit) *backfill {
	if c.key.Expired || m.now.MonoMS < u.noBackfillUntilMS || p.backfill.chosen {
		return nil
	}
	outranked, ok := m.backfillTurn(c)
	if !ok {
		return nil
	}
	r := m.requestFor(c.step, c.queue)
	if !m.withinBackfillLimit(p, c.queue.Service, r, outranked) {
		return nil
	}
	p.backfill.chosen = true
	u.noBackfillUntilMS = m.now.MonoMS + backfillRetryMS
	nodes := m.excludeFailedWorkers(p, m.restrictNodes(p, p.generalNodes, c.step, c.queue), u, r)
	choice, ok := backfiller.Choose(backfiller.Input{
		Nodes: nodes, Releases: func(i int) []backfiller.Release { return m.releases(p, i) }, Request: r, WithinMS: maxBackfillWaitMS,
	})
	if !ok {
		return nil
	}
	if outranked != nil {
		m.logBackfillEnd(outranked, backfillOutranked)
		m.backfills = slices.DeleteFunc(m.backfills, func(o *backfill) bool { return o == outranked })
	}
	readyMS := m.now.MonoMS + choice.ReadyInMS
	b := &backfill{unit: u, service: c.queue.Service, request: r, createdMS: m.now.MonoMS, readyMS: readyMS, giveUpMS: readyMS + max(backfillGraceMS, choice.ReadyInMS/2)}
	for _, i := range choice.Places {
		b.workers = append(b.workers, p.workers[i])
	}
	m.event("BackfillReserved", "Job", u.id.Job, "Unit", u.id.String(), "Workers", workerIDs(slices.Compact(slices.Clone(b.workers))), "Tasks", r.Count, "FreeTasks", choice.FreeTasks, "ReadyInMS", choice.ReadyInMS)
	m.backfills = append(m.backfills, b)
	return b
}

// backfillTurn reports whether the candidate may get a backfill. If its service has as many as
// it may, one of a lower priority gives way, which is returned.
func (m *Model) backfillTurn(c candidate) (outranked *backfill, ok bool) {
	count := 0
	for _, b := range m.backfills {
		if b.service != c.queue.Service {
			continue
		}
		count++
		if priority := m.queue(b.unit.step.job).Priority; priority > c.queue.Priority && (outranked == nil || priority >= m.queue(outranked.unit.step.job).Priority) {
			outranked = b
		}
	}
	if count < maxBackfills {
		return nil, true
	}
	return outranked, outranked != nil
}

// withinBackfillLimit reports whether what is kept of the service's capacity stays within its
// bound if the request joins it in place of the outranked backfill.
func (m *Model) withinBackfillLimit(p *plan, service string, r packer.Request, outranked *backfill) bool {
	c := p.capacity[service]
	if c == nil {
		return false
	}
	kept := times(r.Need, r.Count)
	for _, b := range m.backfills {
		if b.service == service && b != outranked {
			kept = kept.Add(times(b.request.Need, b.request.Count))
		}
	}
	return c.room.Fits(times(kept, backfillDivisor))
}

func times(r describer.Resources, n int) describer.Resources {
	return describer.Resources{CPU: r.CPU * n, MemoryMB: r.MemoryMB * n, Accelerators: r.Accelerators * n}
}

// releases returns when the runs on a worker are expected to end. Perpetual ones don't.
func (m *Model) releases(p *plan, i int) (releases []backfiller.Release) {
	for _, r := range p.workers[i].runs.list {
		if r.unit != nil && r.unit.step.spec.Perpetual && r.unit.state != unitStopping && r.unit.state != unitDone {
			continue
		}
		releases = append(releases, backfiller.Release{Amount: r.need, InMS: max(m.endsInMS(p, r.unit), 1)})
	}
	return releases
}

// endsInMS returns the time until the runs of a unit are expected to have ended.
func (m *Model) endsInMS(p *plan, u *unit) int64 {
	switch {
	case u == nil || u.state == unitDone || u.state == unitStopping:
		return m.cfg.StopMS
	case u.state != unitRunning:
		return u.step.spec.EstimateMS
	case len(u.runs) == 1:
		return m.remainingMS(u)
	}
	ms, ok := p.backfill.unitEndMS[u]
	if !ok {
		ms = m.remainingMS(u)
		p.backfill.unitEndMS[u] = ms
	}
	return ms
}

// applyBackfill keeps the capacity from all other work that the pass comes to later.
func (p *plan) applyBackfill(b *backfill) {
	p.backfill.applied = append(p.backfill.applied, b)
	for _, w := range b.workers {
		i := p.index[w]
		p.backfill.workers[i] = true
		p.backfill.kept[i] = p.backfill.kept[i].Add(b.request.Need)
		p.setFree(i, p.nodes[i].Free)
	}
}

// mayUse reports whether a step, which is not the one that the capacity is kept for, is
// expected to end before that needs it.
func (m *Model) mayUse(b *backfill, s *step) bool {
	return !s.spec.Perpetual && m.now.MonoMS+backfillEstimateFactor*s.spec.EstimateMS <= b.readyMS
}

// usableBackfills counts the backfills whose capacity the step may use. Any step of which that
// number is the same sees no more capacity than one before it in the pass: those that are ready last
// are usable first.
func (m *Model) usableBackfills(p *plan, s *step, service string) (count int) {
	for _, b := range p.backfill.applied {
		if b.service == service && m.mayUse(b, s) {
			count++
		}
	}
	return count
}

// generalView returns the nodes as work that is not urgent sees them: without the capacity that
// is kept for gangs, unless the step may use it.
func (m *Model) generalView(p *plan, s *step, service string) []packer.Node {
	if m.usableBackfills(p, s, service) == 0 {
		return p.generalNodes
	}
	nodes := slices.Clone(p.generalNodes)
	for _, b := range p.backfill.applied {
		if b.service != service || !m.mayUse(b, s) {
			continue
		}
		for _, w := range b.workers {
			i := p.index[w]
			nodes[i].Free = nodes[i].Free.Add(b.request.Need)
		}
	}
	return nodes
}

// keptFrom returns what is kept from the step on each worker, nil if nothing is.
func (m *Model) keptFrom(p *plan, s *step, q describer.Queue) (kept map[int]describer.Resources) {
	if q.Priority == 0 || s.spec.Perpetual {
		return nil
	}
	for _, b := range p.backfill.applied {
		if b.service != q.Service || m.mayUse(b, s) {
			continue
		}
		for _, w := range b.workers {
			if kept == nil {
				kept = map[int]describer.Resources{}
			}
			i := p.index[w]
			kept[i] = kept[i].Add(b.request.Need)
		}
	}
	return kept
}

// backfillsSpared reports whether a placement against preferences leaves free what is kept for
// gangs, or need not. The platform requires that work that fits twice over starts within 3 s while less
// than half of each resource is in use, and while less than half of any is if no urgent jobs come.
func (m *Model) backfillsSpared(p *plan, c candidate, places []int) bool {
	kept := m.keptFrom(p, c.step, c.queue)
	if kept == nil || p.entirelyIdle(c.queue.Service) || m.now.MonoMS-m.urgentSeenMS >= urgentPauseMS {
		return true
	}
	used := map[int]describer.Resources{}
	for _, i := range places {
		used[i] = used[i].Add(c.step.spec.Reserved())
	}
	for i, u := range used {
		if k, isKept := kept[i]; isKept && !p.nodes[i].Free.Fits(u.Add(k)) {
			return false
		}
	}
	return true
}

// withoutKept returns the nodes without the capacity that is kept for gangs of a higher rank and
// that the step must not use, and the jobs of these gangs.
func (m *Model) withoutKept(p *plan, nodes []packer.Node, s *step, q describer.Queue) (left []packer.Node, jobs []string) {
	if q.Priority == 0 || s.spec.Perpetual {
		return nodes, nil
	}
	left = slices.Clone(nodes)
	for _, b := range m.backfills {
		holder := b.unit.step
		if b.service != q.Service || holder == s || m.mayUse(b, s) || ranker.Compare(m.rankStep(holder, m.queue(holder.job), nil), m.rankStep(s, q, nil)) > 0 {
			continue
		}
		jobs = append(jobs, holder.job.id)
		for _, w := range b.workers {
			i := p.index[w]
			left[i].Free = left[i].Free.Sub(b.request.Need)
		}
	}
	return left, jobs
}

// BackfillStats describes the capacity that is kept for gangs at present.
type BackfillStats struct {
	// Gangs is the number of gangs for which capacity is kept, Tasks that of their tasks.
	Gangs, Tasks int
	// LatestReadyInMS is the longest time until one of the gangs is expected to fit, negative if
	// that time has passed for all of them.
	LatestReadyInMS int64
}

// BackfillStats returns statistics for metrics.
func (m *Model) BackfillStats() (s BackfillStats) {
	for i, b := range m.backfills {
		s.Gangs++
		s.Tasks += b.request.Count
		if readyInMS := b.readyMS - m.now.MonoMS; i == 0 || readyInMS > s.LatestReadyInMS {
			s.LatestReadyInMS = readyInMS
		}
	}
	return s
}

// backfillOf returns the backfill of a gang, nil if it has none.
func (m *Model) backfillOf(u *unit) *backfill {
	if i := slices.IndexFunc(m.backfills, func(b *backfill) bool { return b.unit == u }); i >= 0 {
		return m.backfills[i]
	}
	return nil
}
