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
	// RackWeights replaces the rule that the fullest rack goes first: among
	// equal workers, the one with the least weight is taken. Weights are below 1024.
	RackWeights []int
	// Dense packs shapes without spreading them over failure domains.
	Dense bool
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
	area := f.area(o)
	s := f.survey(free, r, o, area)
	if s.fits[area.to] < r.Tasks {
		return nil, false
	}
	if s.racks = o.RackWeights; s.racks == nil {
		s.racks = f.rackSums(free, area)
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

// survey holds sums over the nodes before each index, so that any group is
// judged by two differences.
type survey struct {
	// fits counts how many tasks the nodes take.
	fits []int
	// weights measures what the nodes have left.
	weights []int
	// racks is the second rule of choice, for each node.
	racks []int
}

func (f *Fleet) survey(free Free, r Request, o Options, area span) survey {
	n := len(f.Nodes)
	sums := make([]int, 2*(n+1))
	s := survey{fits: sums[:n+1], weights: sums[n+1:]}
	for i := area.from; i < area.to; i++ {
		s.fits[i+1], s.weights[i+1] = s.fits[i], s.weights[i]
		if o.closed(i) {
			continue
		}
		s.fits[i+1] += free[i].fits(f.Need(r, i))
		s.weights[i+1] += f.weight(free[i], r, i)
	}
	return s
}

// area returns the nodes that the options leave open to a search.
func (f *Fleet) area(o Options) span {
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

// rackBits is the room in a score for a rack's weight.
const rackBits = 10

// bestSpan returns the group of a level that holds the request and keeps the
// least. Among equals, the rack with the least weight is taken first, so that
// whole racks stay free for large gangs.
func (f *Fleet) bestSpan(s survey, r Request, level int, area span) (best span, ok bool) {
	bestScore := 0
	for _, sp := range f.spans[level] {
		sp.from, sp.to = max(sp.from, area.from), min(sp.to, area.to)
		if sp.from >= sp.to || s.fits[sp.to]-s.fits[sp.from] < r.Tasks {
			continue
		}
		score := (s.weights[sp.to]-s.weights[sp.from])<<rackBits + min(max(s.racks[sp.from], 0), 1<<rackBits-1)
		if !ok || score < bestScore {
			best, bestScore, ok = sp, score, true
		}
	}
	return best, ok
}

// RackAccelerators returns for each node the sum of the accelerators of its rack.
func (f *Fleet) RackAccelerators(free Free) []int {
	return f.rackSums(free, span{0, len(f.Nodes)})
}

// rackSums is RackAccelerators for a part of the fleet.
func (f *Fleet) rackSums(free Free, area span) []int {
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
