package scheduler

import "slices"

// runList holds a worker's runs in the order in which they were added. Iterating over a
// map instead would make the decisions nondeterministic.
type runList struct {
	index map[TaskRef]*run
	list  []*run
}

func (l *runList) add(r *run) {
	if l.index == nil {
		l.index = map[TaskRef]*run{}
	}
	l.index[r.ref] = r
	l.list = append(l.list, r)
}

func (l *runList) get(ref TaskRef) *run { return l.index[ref] }

func (l *runList) len() int { return len(l.list) }

// remove removes the run. It does nothing if the list does not hold the run under its
// reference.
func (l *runList) remove(r *run) {
	if l.index[r.ref] != r {
		return
	}
	delete(l.index, r.ref)
	i := slices.Index(l.list, r)
	l.list = slices.Delete(l.list, i, i+1)
}

// snapshot returns a copy of the list, so that runs may be removed during the
// iteration.
func (l *runList) snapshot() []*run { return slices.Clone(l.list) }
