package placer

import (
	"cmp"
	"slices"

	"daisyhead/internal/entry/specifier"
)

// Request is a gang to be placed: a number of tasks, what each of them needs, and
// the group that all nodes of the gang have to share.
type Request struct {
	Tasks   int
	PerTask Resources
	Within  specifier.Adjacency
	// Proportional raises the processors and memory of each task to the node's
	// share for the task's accelerators. Guarantees are placed this way.
	Proportional bool
}

// Options restrict and rank the nodes for a request.
type Options struct {
	// Closed excludes nodes, by position in the fleet; nil excludes none.
	Closed []bool
	// RackWeights gives each node the weight of its rack. Among groups that fit
	// equally well, the one with the least weight is taken. Weights above 1023
	// count as 1023. By default the weight is the rack's number of free accelerators,
	// so that the fullest rack goes first.
	RackWeights []int
	// Dense packs gangs without spreading them over failure domains.
	Dense bool
	// Domain restricts the search to one failure domain.
	Domain string
}

// ForJob returns the request for the gang of a job.
func ForJob(j specifier.Job) Request {
	return Request{
		Tasks:   j.Tasks,
		PerTask: Resources{j.Processors, j.MemoryMB, j.Accelerators},
		Within:  j.Within,
	}
}

// Place finds nodes for the whole request by best fit, or returns false. It tries
// the tightest adjacency first, takes the group with the fewest free accelerators
// that holds the request and, within it, fills partly used nodes before empty ones.
// For a request without accelerators, see freeScore.
func (f *Fleet) Place(free Free, r Request, o Options) ([]NodeTasks, bool) {
	area := f.searchRange(o)
	s := f.prefixSums(free, r, o, area)
	if s.taskSlots[area.to] < r.Tasks {
		return nil, false
	}
	if s.rackWeights = o.RackWeights; s.rackWeights == nil {
		s.rackWeights = f.acceleratorsPerRack(free, area)
	}
	for level, adjacency := range levels {
		if !adjacency.Satisfies(r.Within) && r.Within != "" {
			break
		}
		if best, ok := f.bestSpan(s, r, level, area); ok {
			return f.fillSpan(free, r, o, best), true
		}
	}
	return nil, false
}

// prefixSums holds sums over the nodes before each index, so that the sum of any
// group is the difference of two entries.
type prefixSums struct {
	// taskSlots sums how many tasks of the request fit on the nodes.
	taskSlots []int
	// freeScores sums freeScore over the nodes.
	freeScores []int
	// rackWeights breaks ties between groups. It has one entry for each node and
	// is not a sum.
	rackWeights []int
}

// prefixSums returns the sums for a request over the open nodes of an area.
func (f *Fleet) prefixSums(free Free, r Request, o Options, area span) prefixSums {
	n := len(f.Nodes)
	sums := make([]int, 2*(n+1))
	s := prefixSums{taskSlots: sums[:n+1], freeScores: sums[n+1:]}
	for i := area.from; i < area.to; i++ {
		s.taskSlots[i+1], s.freeScores[i+1] = s.taskSlots[i], s.freeScores[i]
		if o.closed(i) {
			continue
		}
		s.taskSlots[i+1] += free[i].countFits(f.Need(r, i))
		s.freeScores[i+1] += f.freeScore(free[i], r, i)
	}
	return s
}

// searchRange returns the nodes of the domain that the options restrict the
// search to, or all nodes. It is empty for an unknown domain.
func (f *Fleet) searchRange(o Options) span {
	for _, s := range f.spans[domainLevel] {
		if o.Domain != "" && f.Nodes[s.from].Domain == o.Domain {
			return s
		}
	}
	if o.Domain != "" {
		return span{}
	}
	return span{0, len(f.Nodes)}
}

// rackWeightBits is the number of low bits of a group's score that hold the rack
// weight.
const rackWeightBits = 10

// bestSpan returns the group of a level that holds the request and has the least
// free. Ties go to the rack with the least weight, so that whole racks stay free
// for large gangs.
func (f *Fleet) bestSpan(s prefixSums, r Request, level int, area span) (best span, ok bool) {
	bestScore := 0
	for _, sp := range f.spans[level] {
		sp.from, sp.to = max(sp.from, area.from), min(sp.to, area.to)
		if sp.from >= sp.to || s.taskSlots[sp.to]-s.taskSlots[sp.from] < r.Tasks {
			continue
		}
		score := (s.freeScores[sp.to]-s.freeScores[sp.from])<<rackWeightBits + min(max(s.rackWeights[sp.from], 0), 1<<rackWeightBits-1)
		if !ok || score < bestScore {
			best, bestScore, ok = sp, score, true
		}
	}
	return best, ok
}

// AcceleratorsPerRack returns for each node the accelerators in free of its rack.
func (f *Fleet) AcceleratorsPerRack(free Free) []int {
	return f.acceleratorsPerRack(free, span{0, len(f.Nodes)})
}

// acceleratorsPerRack is AcceleratorsPerRack for the racks that overlap the area.
func (f *Fleet) acceleratorsPerRack(free Free, area span) []int {
	racks := make([]int, len(f.Nodes))
	for _, s := range f.spans[rackLevel] {
		if s.to <= area.from || s.from >= area.to {
			continue
		}
		sum := 0
		for i := s.from; i < s.to; i++ {
			sum += max(free[i].Accelerators, 0)
		}
		for i := s.from; i < s.to; i++ {
			racks[i] = sum
		}
	}
	return racks
}

// freeScore measures what a node has free: accelerators or, for a request without
// accelerators, processors. Such a request uses nodes with accelerators last.
func (f *Fleet) freeScore(free Resources, r Request, node int) int {
	if r.PerTask.Accelerators > 0 {
		return free.Accelerators
	}
	return f.Nodes[node].Total.Accelerators<<20 + free.Processors
}

// fillSpan distributes the tasks over the nodes of the span. It takes the fullest
// node that holds all remaining tasks, or else the next of the fullest nodes.
func (f *Fleet) fillSpan(free Free, r Request, o Options, s span) []NodeTasks {
	nodes := f.candidates(free, r, o, s)
	if i := firstHoldingAll(nodes, r.Tasks); i >= 0 {
		return []NodeTasks{{Node: nodes[i].node, Tasks: r.Tasks, PerTask: f.Need(r, nodes[i].node)}}
	}
	var places []NodeTasks
	left := r.Tasks
	for i, n := range nodes {
		if left == 0 {
			break
		}
		if j := firstHoldingAll(nodes[i:], left); j >= 0 {
			n = nodes[i+j]
		}
		tasks := min(left, n.slots)
		places = append(places, NodeTasks{Node: n.node, Tasks: tasks, PerTask: f.Need(r, n.node)})
		left -= tasks
	}
	return places
}

// candidate is a node with room for a number of tasks.
type candidate struct{ node, slots, freeScore int }

// candidates returns the nodes of the span that hold at least one task, the
// fullest first.
func (f *Fleet) candidates(free Free, r Request, o Options, s span) []candidate {
	var nodes []candidate
	for i := s.from; i < s.to; i++ {
		if o.closed(i) {
			continue
		}
		if fit := free[i].countFits(f.Need(r, i)); fit > 0 {
			nodes = append(nodes, candidate{i, fit, f.freeScore(free[i], r, i)})
		}
	}
	slices.SortStableFunc(nodes, func(a, b candidate) int { return cmp.Compare(a.freeScore, b.freeScore) })
	return nodes
}

// firstHoldingAll returns the index of the first candidate that holds all tasks,
// or -1. As candidates are sorted, this is the fullest one.
func firstHoldingAll(nodes []candidate, tasks int) int {
	return slices.IndexFunc(nodes, func(n candidate) bool { return n.slots >= tasks })
}

// Need returns what one task of the request uses on a node.
func (f *Fleet) Need(r Request, node int) Resources {
	total := f.Nodes[node].Total
	if !r.Proportional || total.Accelerators == 0 {
		return r.PerTask
	}
	k := r.PerTask.Accelerators
	return Resources{
		Processors:   max(r.PerTask.Processors, total.Processors*k/total.Accelerators),
		MemoryMB:     max(r.PerTask.MemoryMB, total.MemoryMB*k/total.Accelerators),
		Accelerators: k,
	}
}

// closed reports whether the options exclude the node.
func (o Options) closed(node int) bool { return o.Closed != nil && o.Closed[node] }

// SameGroup marks the nodes in the same group as node, such as its rack, at the
// given adjacency level.
func (f *Fleet) SameGroup(node int, within specifier.Adjacency) []bool {
	inGroup := make([]bool, len(f.Nodes))
	for level, adjacency := range levels {
		if adjacency != within && !(within == "" && level == len(levels)-1) {
			continue
		}
		for _, s := range f.spans[level] {
			for i := s.from; i < s.to; i++ {
				inGroup[i] = s.from <= node && node < s.to
			}
		}
	}
	return inGroup
}
