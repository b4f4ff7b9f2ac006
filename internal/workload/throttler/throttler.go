// Package throttler decides when orders are sent to workers. It bounds the orders that
// await an answer, for all workers together and for each one, so that a wave of orders
// does not delay its own answers until they time out and are repeated.
//
// The limit for all workers adapts to how long answers take: it grows while they are
// prompt and shrinks when they are slow. Orders without an answer do not shrink it while
// other answers are prompt, since then the workers are at fault and not the way to them.
//
// The package reads no clock: times are passed in, in milliseconds.
package throttler

import "slices"

// Kind is what an order does. Orders of a lower kind are sent first.
type Kind int

// The kinds of orders.
const (
	// KindStop stops a task, which frees capacity.
	KindStop Kind = iota
	// KindRenewal extends the lease of tasks that run.
	KindRenewal
	// KindStart starts a task.
	KindStart
	// KindQuery asks a worker without tasks for its report.
	KindQuery

	kinds
)

// Limits of the orders that await an answer.
const (
	// initialLimit applies to all workers together before anything is known about the
	// time that answers take.
	initialLimit = 40
	// minLimit keeps enough orders in flight to notice that answers are prompt again.
	minLimit = 16
	// maxLimit keeps the connections that orders use well below the descriptors of the
	// smallest instances.
	maxLimit = 256
	// perWorker bounds the places that a worker can take before it is found to be silent.
	// All tasks of a worker with 8 accelerators can be stopped at once.
	perWorker = 8
	// suspectDivisor bounds the share of the limit for workers that have not answered
	// their latest order. Each such order occupies its place until it times out.
	suspectDivisor = 4
)

// Adaptation of the limit.
const (
	// promptMS is half of the time after which an order is given up.
	promptMS = 150
	// window is the number of results after which the limit is adapted.
	window = 16
	// growth is added to the limit after a window of prompt answers.
	growth = 8
	// The limit shrinks by shrinkNumerator/shrinkDenominator after a window of slow
	// answers.
	shrinkNumerator, shrinkDenominator = 7, 10
)

// Order is an order that waits to be sent. Item is the caller's own description of it.
type Order[T any] struct {
	Worker   string
	Kind     Kind
	Item     T
	QueuedMS int64
}

// Throttler queues orders and tells which may be sent. The zero value is ready to use.
type Throttler[T any] struct {
	queues [kinds][]Order[T]
	// sent are the orders that await an answer, by their IDs.
	sent    map[uint64]sentOrder
	lastID  uint64
	workers map[string]*workerState
	// suspectsInFlight counts the orders in flight to suspect workers.
	suspectsInFlight int

	limit int
	// limitReached is set once an order had to wait for the limit in this window.
	limitReached bool
	// prompt, slow and unanswered count the results in this window.
	prompt, slow, unanswered int
}

// sentOrder is an order that awaits an answer.
type sentOrder struct {
	worker  string
	sentMS  int64
	suspect bool
}

// workerState is what matters for further orders to a worker.
type workerState struct {
	inFlight int
	// suspect is set while the worker's latest result is a missing answer.
	suspect bool
}

// Add queues an order behind all others of its kind.
func (t *Throttler[T]) Add(o Order[T]) { t.queues[o.Kind] = append(t.queues[o.Kind], o) }

// Next removes the first order that may be sent now from the queue. The caller reports it
// with Sent, or drops it by calling Next again. ok is false if no order may be sent.
func (t *Throttler[T]) Next() (o Order[T], ok bool) {
	if len(t.sent) >= t.Limit() {
		t.limitReached = t.limitReached || t.Queued() > 0
		return o, false
	}
	for kind := range t.queues {
		q := t.queues[kind]
		if len(q) == 0 {
			continue
		}
		if i := slices.IndexFunc(q, t.sendable); i >= 0 {
			o = q[i]
			t.queues[kind] = removeAt(q, i)
			return o, true
		}
	}
	return o, false
}

// removeAt removes an element. It is cheap for the first one.
func removeAt[E any](s []E, i int) []E {
	if i == 0 {
		var zero E
		s[0] = zero
		return s[1:]
	}
	return slices.Delete(s, i, i+1)
}

// sendable reports whether the order's worker may get another order.
func (t *Throttler[T]) sendable(o Order[T]) bool {
	w := t.workers[o.Worker]
	switch {
	case w == nil:
		return true
	case w.suspect:
		return w.inFlight == 0 && t.suspectsInFlight < t.Limit()/suspectDivisor
	}
	return w.inFlight < perWorker
}

// Sent records that an order has been sent, and returns an ID for its result.
func (t *Throttler[T]) Sent(nowMS int64, o Order[T]) (id uint64) {
	w := t.worker(o.Worker)
	w.inFlight++
	if w.suspect {
		t.suspectsInFlight++
	}
	if t.sent == nil {
		t.sent = map[uint64]sentOrder{}
	}
	t.lastID++
	t.sent[t.lastID] = sentOrder{worker: o.Worker, sentMS: nowMS, suspect: w.suspect}
	return t.lastID
}

func (t *Throttler[T]) worker(id string) *workerState {
	if t.workers == nil {
		t.workers = map[string]*workerState{}
	}
	w, ok := t.workers[id]
	if !ok {
		w = &workerState{}
		t.workers[id] = w
	}
	return w
}

// Done records the result of an order. Unknown IDs are ignored.
func (t *Throttler[T]) Done(nowMS int64, id uint64, answered bool) {
	s, ok := t.sent[id]
	if !ok {
		return
	}
	delete(t.sent, id)
	if s.suspect {
		t.suspectsInFlight--
	}
	t.worker(s.worker).inFlight--
	t.Heard(s.worker, answered)
	switch {
	case !answered:
		t.unanswered++
	case nowMS-s.sentMS > promptMS:
		t.slow++
	default:
		t.prompt++
	}
	t.adapt()
}

// Heard records whether a worker has answered, also in an exchange that was not queued
// here.
func (t *Throttler[T]) Heard(worker string, answered bool) {
	w := t.worker(worker)
	w.suspect = !answered
	if answered && w.inFlight == 0 {
		delete(t.workers, worker)
	}
}

// adapt adapts the limit at the end of a window. Missing answers count only if there are
// no others.
func (t *Throttler[T]) adapt() {
	if t.prompt+t.slow+t.unanswered < window {
		return
	}
	switch limit := t.Limit(); {
	case t.slow > t.prompt || t.prompt == 0:
		t.limit = max(limit*shrinkNumerator/shrinkDenominator, minLimit)
	case t.limitReached:
		t.limit = min(limit+growth, maxLimit)
	}
	t.prompt, t.slow, t.unanswered, t.limitReached = 0, 0, 0, false
}

// Clear drops all orders that have not been sent and returns them.
func (t *Throttler[T]) Clear() (dropped []Order[T]) {
	for kind := range t.queues {
		dropped = append(dropped, t.queues[kind]...)
		t.queues[kind] = nil
	}
	return dropped
}

// Limit returns how many orders may await an answer at present.
func (t *Throttler[T]) Limit() int {
	if t.limit == 0 {
		return initialLimit
	}
	return t.limit
}

// InFlight returns how many orders await an answer.
func (t *Throttler[T]) InFlight() int { return len(t.sent) }

// Queued returns how many orders wait to be sent.
func (t *Throttler[T]) Queued() (n int) {
	for _, q := range t.queues {
		n += len(q)
	}
	return n
}

// KindQueue describes the orders of one kind that wait to be sent.
type KindQueue struct {
	Orders int
	// OldestMS is how long the first of them has waited.
	OldestMS int64
}

// QueueOf describes the queue of a kind.
func (t *Throttler[T]) QueueOf(nowMS int64, k Kind) (q KindQueue) {
	q.Orders = len(t.queues[k])
	if q.Orders > 0 {
		q.OldestMS = nowMS - t.queues[k][0].QueuedMS
	}
	return q
}

// Kinds lists all kinds of orders.
func Kinds() []Kind { return []Kind{KindStop, KindRenewal, KindStart, KindQuery} }

// String returns the name of the kind for metrics.
func (k Kind) String() string {
	switch k {
	case KindStop:
		return "Stop"
	case KindRenewal:
		return "Renewal"
	case KindStart:
		return "Start"
	}
	return "Query"
}
