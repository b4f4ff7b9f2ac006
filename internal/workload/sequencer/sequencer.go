// Package sequencer orders the waiting jobs of one service and one precedence (priority,
// claims) when capacity is scarce. It is pure: the order depends only on its arguments.
//
//	places := sequencer.Order(sequencer.DensityOfKept, items, sequencer.Load{NowMS: now, Free: 0.1})
//	// items[places[0].Index] is to be placed first
//
// Capacity is that of the scarcest resource of the service. Work is measured in the
// milliseconds that all of that capacity needs for it. A waiting job is expected to start
// once the work before it has been started, at the rate of the whole capacity.
package sequencer

import (
	"cmp"
	"container/heap"
	"slices"
)

// Item is a waiting job, or one occurrence of it.
type Item struct {
	// AcceptedMS is since when the job waits, and all other times are on the same clock.
	AcceptedMS int64
	// LatestStartMS is the latest start with which the job ends within its objective,
	// LastUsefulStartMS the latest one with which it has any value.
	LatestStartMS, LastUsefulStartMS int64
	// Work is the waiting work and Width the share of the capacity that it takes while it runs.
	Work, Width float64
	// Value is what the job is worth to its caller if it ends within its objective.
	Value float64
	// OverShare is set if the job's workspace uses more than its share of the service.
	OverShare bool
}

// Load describes the rest of the service.
type Load struct {
	NowMS int64
	// Free is the share of the capacity that is not in use.
	Free float64
	// Ahead is the waiting work of higher precedence.
	Ahead float64
	// AgedUse is the share of the capacity that runs aged jobs; see Aged.
	AgedUse float64
}

// Policy is a way to order jobs.
type Policy int

// The policies that the tests compare.
const (
	// LeastSlack starts the job first whose latest start comes first.
	LeastSlack Policy = iota
	// ShortestWork starts the job with the least work first.
	ShortestWork
	// ValueDensity starts the job first that has the most value for its work.
	ValueDensity
	// DeadlineRemoval orders by latest start, but delays the jobs with the most work for
	// their value if not all can end in time (Moore and Hodgson, by value).
	DeadlineRemoval
	// DensityOfKept delays the same jobs as DeadlineRemoval, but starts the others in the order
	// of ValueDensity. With rough estimates and new arrivals, a job that starts at its latest
	// start is often late.
	DensityOfKept
)

// Class tells what a job can still be worth, given the work before it.
type Class int

// The classes, in the order in which they start.
const (
	InTime Class = iota
	Late
	Expired
)

// String returns the name of the class in the log.
func (c Class) String() string { return [...]string{"InTime", "Late", "Expired"}[c] }

// Place is the place of an item in the order.
type Place struct {
	Index int
	// Class is what the job is expected to be worth in this order.
	Class Class
	// Delayed is set if the job could end in time by itself, but not together with others.
	Delayed bool
	// OverShare is set if the job waits behind others because of its workspace's share.
	OverShare bool
	// Ahead is the work that starts before the job.
	Ahead float64
}

const (
	// roughness is the factor by which the work may exceed its estimate for capacity to count
	// as enough. True times are 0.5 to 8 times the estimates, but those of many jobs average out.
	roughness = 2
	// minAgedMS is the least waiting time of an aged job. It covers an outage of the platform
	// and the backlog that follows.
	minAgedMS = 30_000
	// agedFactor times the time until the last useful start is the waiting time of an aged job.
	agedFactor = 2
	// agedShare is the part of the capacity that aged jobs get before others. Without a limit,
	// lasting overload would be served in the order of arrival, when no job has value any more.
	agedShare = 0.125
)

// Aged reports whether a job has waited for so long that it goes before others, while
// aged jobs use little of the capacity.
func Aged(it Item, nowMS int64) bool {
	return nowMS-it.AcceptedMS > max(minAgedMS, agedFactor*(it.LastUsefulStartMS-it.AcceptedMS))
}

// Order returns the places of the items, in order. The order is least slack if there is
// capacity for all of them.
func Order(p Policy, items []Item, l Load) []Place {
	s := sequence{items: items, load: l, places: make([]Place, 0, len(items)), free: l.Free, ahead: l.Ahead, costs: make([]float64, len(items))}
	for i, it := range items {
		s.costs[i] = it.Work / max(it.Value, minValue)
	}
	all := make([]int, len(items))
	for i := range all {
		all[i] = i
	}
	if oldest, ok := s.oldestAged(); ok {
		s.add(oldest, s.class(oldest), false)
		all = slices.DeleteFunc(all, func(i int) bool { return i == oldest })
	}
	switch {
	case p == ShortestWork:
		s.sortBy(all, func(i int) float64 { return items[i].Work })
	case p == ValueDensity:
		s.sortBy(all, func(i int) float64 { return s.cost(i) })
	case p == LeastSlack || s.enoughFor(all):
		// Expired jobs last, the others by their latest start, as ranker.Compare has them. The
		// division maps all other classes to 0.
		slices.SortFunc(all, func(a, b int) int {
			return cmp.Or(cmp.Compare(s.class(a)/Expired, s.class(b)/Expired), cmp.Compare(items[a].LatestStartMS, items[b].LatestStartMS), a-b)
		})
		s.addAll(all)
	default:
		s.removeLargest(p, all)
	}
	return s.places
}

// sequence is an order that is being built.
type sequence struct {
	items  []Item
	load   Load
	places []Place
	// free is the capacity that the items so far leave free, ahead the work that waits
	// beyond it.
	free, ahead float64
	// costs are the work that each item needs for its value.
	costs []float64
}

// minValue keeps the cost of an item without a value finite.
const minValue = 0.01

// class returns what the job can be worth if it starts now.
func (s *sequence) class(i int) Class { return s.classAt(i, float64(s.load.NowMS)) }

func (s *sequence) classAt(i int, startMS float64) Class {
	switch {
	case startMS <= float64(s.items[i].LatestStartMS):
		return InTime
	case startMS <= float64(s.items[i].LastUsefulStartMS):
		return Late
	}
	return Expired
}

// cost returns the work that the job needs for its value.
func (s *sequence) cost(i int) float64 { return s.costs[i] }

// add appends an item to the order.
func (s *sequence) add(i int, c Class, delayed bool) {
	s.places = append(s.places, Place{Index: i, Class: c, Delayed: delayed, Ahead: s.ahead})
	s.free, s.ahead = after(s.free, s.ahead, s.items[i], 1)
}

// after returns what is free and ahead once the item has been added. Work that fits into
// the free capacity starts at once and delays nothing.
func after(free, ahead float64, it Item, factor float64) (float64, float64) {
	if it.Width <= free {
		return free - it.Width, ahead
	}
	return free, ahead + factor*it.Work
}

func (s *sequence) addAll(order []int) {
	for _, i := range order {
		startMS := float64(s.load.NowMS)
		if s.items[i].Width > s.free {
			startMS += s.ahead
		}
		s.add(i, s.classAt(i, startMS), false)
	}
}

func (s *sequence) sortBy(order []int, key func(int) float64) {
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(s.class(a), s.class(b)), cmp.Compare(key(a), key(b)), a-b)
	})
	s.addAll(order)
}

// oldestAged returns the oldest aged item if aged jobs may use more of the capacity.
func (s *sequence) oldestAged() (oldest int, ok bool) {
	if s.load.AgedUse >= agedShare {
		return 0, false
	}
	for i, it := range s.items {
		if Aged(it, s.load.NowMS) && (!ok || it.AcceptedMS < s.items[oldest].AcceptedMS) {
			oldest, ok = i, true
		}
	}
	return oldest, ok
}

// enoughFor reports whether all jobs would keep their class by least slack, even if they
// took longer than estimated.
func (s *sequence) enoughFor(all []int) bool {
	order := slices.Clone(all)
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(s.items[a].LatestStartMS, s.items[b].LatestStartMS), a-b)
	})
	free, ahead := s.free, roughness*s.ahead
	for _, i := range order {
		if s.items[i].Width > free && s.classAt(i, float64(s.load.NowMS)+ahead) > s.class(i) {
			return false
		}
		free, ahead = after(free, ahead, s.items[i], roughness)
	}
	return true
}

// removeLargest adds the jobs that can end in time together, then those that can have some
// value together, then the rest. Within each class, jobs of workspaces within their share
// go first.
func (s *sequence) removeLargest(p Policy, all []int) {
	var rest []int
	for _, c := range []Class{InTime, Late} {
		var within, over, later []int
		for _, i := range all {
			switch {
			case s.class(i) > c:
				later = append(later, i)
			case s.items[i].OverShare:
				over = append(over, i)
			default:
				within = append(within, i)
			}
		}
		rest = later
		for _, group := range [][]int{within, over} {
			kept, removed := s.keep(group, c)
			if p == DensityOfKept {
				slices.SortFunc(kept, func(a, b int) int { return cmp.Or(cmp.Compare(s.cost(a), s.cost(b)), a-b) })
			}
			for _, i := range kept {
				s.add(i, c, s.class(i) < c)
				s.places[len(s.places)-1].OverShare = s.items[i].OverShare
			}
			rest = append(rest, removed...)
		}
		all = rest
	}
	slices.SortFunc(rest, func(a, b int) int {
		return cmp.Or(cmp.Compare(s.class(a), s.class(b)), cmp.Compare(s.cost(a), s.cost(b)), a-b)
	})
	for _, i := range rest {
		s.add(i, Expired, s.class(i) == InTime)
	}
}

// keep returns the jobs of the group that can start before their deadlines together, in the
// order of these, and the others: those that need the most work for their value.
func (s *sequence) keep(group []int, c Class) (kept, removed []int) {
	deadline := func(i int) int64 {
		if c == InTime {
			return s.items[i].LatestStartMS
		}
		return s.items[i].LastUsefulStartMS
	}
	// The jobs are started one after the other, so a job with much work may come after one
	// with a later start but little work.
	due := func(i int) float64 { return float64(deadline(i)) + s.items[i].Work }
	slices.SortFunc(group, func(a, b int) int { return cmp.Or(cmp.Compare(due(a), due(b)), a-b) })
	free, ahead := s.free, s.ahead
	costs := costliest{sequence: s}
	out := make([]bool, len(s.items))
	for _, i := range group {
		if s.items[i].Width <= free {
			// It starts at once.
			free -= s.items[i].Width
			continue
		}
		// Either the costliest jobs before i are removed, or i is, whichever has less value.
		slack := float64(deadline(i) - s.load.NowMS)
		var popped []int
		var lost float64
		for ahead > slack && costs.Len() > 0 && s.cost(costs.order[0]) > s.cost(i) && lost < s.items[i].Value {
			largest := heap.Pop(&costs).(int)
			popped = append(popped, largest)
			ahead -= s.items[largest].Work
			lost += s.items[largest].Value
		}
		if ahead <= slack && lost <= s.items[i].Value {
			for _, k := range popped {
				out[k] = true
			}
			heap.Push(&costs, i)
			ahead += s.items[i].Work
			continue
		}
		out[i] = true
		for _, k := range popped {
			heap.Push(&costs, k)
			ahead += s.items[k].Work
		}
	}
	for _, i := range group {
		if out[i] {
			removed = append(removed, i)
			continue
		}
		kept = append(kept, i)
	}
	return kept, removed
}

// costliest is a heap of items, the one with the most work for its value first.
type costliest struct {
	*sequence
	order []int
}

func (c *costliest) Len() int           { return len(c.order) }
func (c *costliest) Less(a, b int) bool { return c.cost(c.order[a]) > c.cost(c.order[b]) }
func (c *costliest) Swap(a, b int)      { c.order[a], c.order[b] = c.order[b], c.order[a] }
func (c *costliest) Push(x any)         { c.order = append(c.order, x.(int)) }
func (c *costliest) Pop() any {
	last := c.order[len(c.order)-1]
	c.order = c.order[:len(c.order)-1]
	return last
}
