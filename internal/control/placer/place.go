package placer

import (
	"cmp"
	"slices"

	"daisyhead/internal/entry/specifier"
)

// Request is a gang that needs a place.
type Request struct {
	Tasks  int
	Each   Resources
	Within specifier.Adjacency
	// Proportional adds to each accelerator its worker's share of processors
	// and memory. Guaranteed shapes are placed so.
	Proportional bool
}

// Options change where a request may go.
type Options struct {
	// Closed excludes nodes, in the fleet's order; nil excludes none.
	Closed []bool
	// Domain restricts the search to one failure domain.
	Domain string
}

// ForJob returns the request of a job's gang.
func ForJob(j specifier.Job) Request {
	return Request{
		Tasks:  j.Tasks,
		Each:   Resources{j.Processors, j.MemoryMB, j.Accelerators},
		Within: j.Within,
	}
}

// Place finds nodes for the whole request, or reports false. It looks in the
// tightest group first, takes the group that keeps the least free accelerators
// and, within it, fills partly used nodes before empty ones.
func (f *Fleet) Place(free Free, r Request, o Options) ([]Place, bool) {
	for level, adjacency := range levels {
		if !adjacency.Satisfies(r.Within) && r.Within != "" {
			break
		}
		if places, ok := f.placeAt(free, r, o, level); ok {
			return places, true
		}
	}
	return nil, false
}

func (f *Fleet) placeAt(free Free, r Request, o Options, level int) ([]Place, bool) {
	best, bestScore := -1, 0
	racks := f.rackFree(free)
	for i, s := range f.spans[level] {
		if o.Domain != "" && f.Nodes[s.from].Domain != o.Domain {
			continue
		}
		score, ok := f.scoreSpan(free, r, o, s)
		// Among equals, the rack with the least left is taken first, so that
		// whole racks stay free for large gangs.
		score = score<<rackBits + min(racks[s.from], 1<<rackBits-1)
		if ok && (best < 0 || score < bestScore) {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return nil, false
	}
	return f.fillSpan(free, r, o, f.spans[level][best]), true
}

// rackBits is the room in a score for a rack's free accelerators.
const rackBits = 10

// rackFree returns for each node the free accelerators of its rack.
func (f *Fleet) rackFree(free Free) []int {
	racks := make([]int, len(f.Nodes))
	for _, s := range f.spans[rackLevel] {
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

// scoreSpan reports whether the span holds the request, and how much would be
// left free; less is better.
func (f *Fleet) scoreSpan(free Free, r Request, o Options, s span) (score int, ok bool) {
	fit, left := 0, 0
	for i := s.from; i < s.to; i++ {
		if o.closed(i) {
			continue
		}
		fit += free[i].fits(f.Need(r, i))
		left += f.weight(free[i], r, i)
	}
	return left, fit >= r.Tasks
}

// weight measures what a node has left. For requests without accelerators it
// makes nodes that have accelerators the last choice.
func (f *Fleet) weight(free Resources, r Request, node int) int {
	if r.Each.Accelerators > 0 {
		return free.Accelerators
	}
	return f.Nodes[node].Total.Accelerators<<20 + free.Processors
}

func (f *Fleet) fillSpan(free Free, r Request, o Options, s span) []Place {
	nodes := f.candidates(free, r, o, s)
	if i := tightestWhole(nodes, r.Tasks); i >= 0 {
		return []Place{{Node: nodes[i].node, Tasks: r.Tasks, Each: f.Need(r, nodes[i].node)}}
	}
	var places []Place
	left := r.Tasks
	for i, n := range nodes {
		if left == 0 {
			break
		}
		if j := tightestWhole(nodes[i:], left); j >= 0 {
			n = nodes[i+j]
		}
		tasks := min(left, n.fit)
		places = append(places, Place{Node: n.node, Tasks: tasks, Each: f.Need(r, n.node)})
		left -= tasks
	}
	return places
}

type candidate struct{ node, fit, weight int }

// candidates returns the span's nodes that take at least one task, fullest first.
func (f *Fleet) candidates(free Free, r Request, o Options, s span) []candidate {
	var nodes []candidate
	for i := s.from; i < s.to; i++ {
		if o.closed(i) {
			continue
		}
		if fit := free[i].fits(f.Need(r, i)); fit > 0 {
			nodes = append(nodes, candidate{i, fit, f.weight(free[i], r, i)})
		}
	}
	slices.SortStableFunc(nodes, func(a, b candidate) int { return cmp.Compare(a.weight, b.weight) })
	return nodes
}

// tightestWhole returns the first node, fullest first, that takes all tasks.
func tightestWhole(nodes []candidate, tasks int) int {
	return slices.IndexFunc(nodes, func(n candidate) bool { return n.fit >= tasks })
}

// Need returns what one task of the request takes from a node.
func (f *Fleet) Need(r Request, node int) Resources {
	total := f.Nodes[node].Total
	if !r.Proportional || total.Accelerators == 0 {
		return r.Each
	}
	k := r.Each.Accelerators
	return Resources{
		Processors:   max(r.Each.Processors, total.Processors*k/total.Accelerators),
		MemoryMB:     max(r.Each.MemoryMB, total.MemoryMB*k/total.Accelerators),
		Accelerators: k,
	}
}

func (o Options) closed(node int) bool { return o.Closed != nil && o.Closed[node] }

// Near marks the nodes that share the group of the given level with node.
func (f *Fleet) Near(node int, within specifier.Adjacency) []bool {
	near := make([]bool, len(f.Nodes))
	for level, adjacency := range levels {
		if adjacency != within && !(within == "" && level == len(levels)-1) {
			continue
		}
		for _, s := range f.spans[level] {
			for i := s.from; i < s.to; i++ {
				near[i] = s.from <= node && node < s.to
			}
		}
	}
	return near
}
