package scheduler

import "daisyhead/internal/workload/throttler"

// queuedOrder is an order that waits to be sent: a start or stop of run, or a hold for
// worker. The command is built when it is sent, so that it never relies on a term, a lease
// or a table that has become out of date in the queue.
type queuedOrder struct {
	run    *run
	worker *worker
}

// OrderStats describes the way to the workers at present.
type OrderStats struct {
	// InFlight is the number of orders that await an answer, Limit its bound.
	InFlight, Limit int
	// Queues describes the orders that wait to be sent.
	Queues map[throttler.Kind]throttler.KindQueue
	// DroppedUnsent counts the orders that were dropped because they were no longer wanted
	// when their turn came.
	DroppedUnsent int
	// PassesPaced counts the passes that were ended early because of queued starts.
	PassesPaced int
}

// OrderStats returns statistics for metrics.
func (m *Model) OrderStats() OrderStats {
	s := OrderStats{InFlight: m.orders.InFlight(), Limit: m.orders.Limit(), Queues: map[throttler.Kind]throttler.KindQueue{}, DroppedUnsent: m.droppedUnsent, PassesPaced: m.passesPaced}
	for _, k := range throttler.Kinds() {
		s.Queues[k] = m.orders.QueueOf(m.now.MonoMS, k)
	}
	return s
}

// passPacedIntervalMS is the least time between two log entries about passes that were
// ended early.
const passPacedIntervalMS = 1000

// startsPerOrder is how many tasks a pass may place for each order that may be in flight:
// what is answered while the placements are recorded.
const startsPerOrder = 2

// startBudget returns how many tasks may be placed and not started yet. Work beyond that
// waits in order of rank, where later and more urgent work can still overtake it.
func (m *Model) startBudget() int { return startsPerOrder * m.orders.Limit() }

// pacePass ends a pass early. The next one continues.
func (m *Model) pacePass() {
	m.passNeeded = true
	m.passesPaced++
	if m.now.MonoMS-m.passPacedMS < passPacedIntervalMS {
		return
	}
	m.passPacedMS = m.now.MonoMS
	m.event("PassPaced", "Limit", m.orders.Limit(), "InFlight", m.orders.InFlight(), "Queued", m.orders.Queued())
}

func (m *Model) queueStart(r *run) { m.queueOrder(r, throttler.KindStart) }

func (m *Model) queueStop(r *run) { m.queueOrder(r, throttler.KindStop) }

// queueOrder queues an order for a run, unless one of the same kind waits already. An
// order of another kind that still waits is dropped when its turn comes.
func (m *Model) queueOrder(r *run, k throttler.Kind) {
	if r.orderInFlight || r.orderQueued && r.queuedKind == k {
		return
	}
	r.orderQueued, r.queuedKind = true, k
	m.orders.Add(throttler.Order[queuedOrder]{Worker: r.worker.ID, Kind: k, Item: queuedOrder{run: r, worker: r.worker}, QueuedMS: m.now.MonoMS})
}

// queueHold queues a hold. Workers with tasks go first, since their leases run.
func (m *Model) queueHold(w *worker) {
	kind := throttler.KindQuery
	if w.runs.len() > 0 {
		kind = throttler.KindRenewal
	}
	w.holdQueued = true
	m.orders.Add(throttler.Order[queuedOrder]{Worker: w.ID, Kind: kind, Item: queuedOrder{worker: w}, QueuedMS: m.now.MonoMS})
}

// sendOrders sends as many queued orders as may be in flight, and drops those that have
// become needless.
func (m *Model) sendOrders() {
	for m.deciding() {
		o, ok := m.orders.Next()
		if !ok {
			return
		}
		if !m.sendOrder(o) {
			m.droppedUnsent++
		}
	}
}

// sendOrder sends an order if it is still wanted and may be sent.
func (m *Model) sendOrder(o throttler.Order[queuedOrder]) (sent bool) {
	r, w := o.Item.run, o.Item.worker
	if r == nil {
		w.holdQueued = false
		if m.workers[w.ID] == w && !w.holdInFlight && w.Address != "" {
			m.sendHold(w, m.orders.Sent(m.now.MonoMS, o))
			return true
		}
		return false
	}
	if !r.orderQueued || r.queuedKind != o.Kind || w.runs.get(r.ref) != r {
		return false
	}
	r.orderQueued = false
	switch {
	case o.Kind == throttler.KindStop:
		if r.state == runStopping && m.mayStop(r) {
			m.sendStop(r, m.orders.Sent(m.now.MonoMS, o))
			return true
		}
	case m.shuttingDown || r.unit == nil || r.unit.state != unitStarting:
	case r.state == runPlanned && m.Config.Closed[w.Domain]:
		m.stopUnit(r.unit, "domain "+w.Domain+" was closed before the start was sent")
	case (r.state == runPlanned || r.state == runStartSent) && !w.hasRoomFor(r):
		// The stop also bars a start that was sent before and may still be executed.
		m.stopUnit(r.unit, "worker "+w.ID+" has shrunk before the start was confirmed")
	case (r.state == runPlanned || r.state == runStartSent) && !m.startAllowed(r):
		// The start is tried again until the unit's time for it is over.
		if r.unit.unsent() {
			m.stopUnit(r.unit, waitLimit+" was used up before the start was sent")
		}
	case (r.state == runPlanned || r.state == runStartSent) && m.mayStart(r):
		m.sendStart(r, m.orders.Sent(m.now.MonoMS, o))
		return true
	}
	return false
}

// countAnswer records the result of an order for the limit of orders in flight, whatever
// has become of the order's run.
func (m *Model) countAnswer(msg Msg) {
	switch msg := msg.(type) {
	case HeldMsg:
		if msg.OrderID == 0 {
			m.orders.Heard(msg.Worker, answered(msg.Result))
			return
		}
		m.orders.Done(m.now.MonoMS, msg.OrderID, answered(msg.Result))
	case StartedMsg:
		m.orders.Done(m.now.MonoMS, msg.OrderID, answered(msg.Result))
	case StoppedMsg:
		m.orders.Done(m.now.MonoMS, msg.OrderID, answered(msg.Result))
	}
}

// answered reports whether the worker has answered the order.
func answered(result OrderResult) bool { return result != OrderUnknown && result != OrderNotSent }
