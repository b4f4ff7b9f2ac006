package packer

import (
	"cmp"
	"slices"
)

// Speed is a preference among nodes of different speeds.
type Speed int

const (
	// FastFirst is for work with little time.
	FastFirst Speed = iota
	// SlowFirst is for work that can wait. It leaves the fast nodes to other work.
	SlowFirst
)

// compare orders slowness a before b if it is preferred.
func (s Speed) compare(a, b int) int {
	if s == SlowFirst {
		return cmp.Compare(b, a)
	}
	return cmp.Compare(a, b)
}

// compareUnknown orders nodes of known speed first if the request prefers them.
func (r Request) compareUnknown(a, b Node) int {
	switch {
	case !r.knownFirst || a.Unknown == b.Unknown:
		return 0
	case b.Unknown:
		return -1
	}
	return 1
}

// placeSimilar assigns the tasks to the candidates. The tasks of a gang run at the pace of
// the slowest of them. So for each speed that the slowest node may have, it tries the nodes
// that are next to it in speed, and returns the best of these placements.
func placeSimilar(nodes []Node, maxTasks []int, r Request, candidates []int) (places []int, ok bool) {
	found := slownesses(nodes, maxTasks, candidates)
	if r.Count == 1 || len(found) < 2 {
		return placeBestFit(nodes, maxTasks, r, candidates)
	}
	similar := r
	similar.Speed, similar.knownFirst = SlowFirst, r.Speed == FastFirst
	for _, slowest := range found {
		notSlower := slices.DeleteFunc(slices.Clone(candidates), func(i int) bool { return nodes[i].Slowness > slowest })
		placed, fits := placeBestFit(nodes, maxTasks, similar, notSlower)
		if !fits {
			continue
		}
		if places == nil || comparePlaces(nodes, r, placed, places) < 0 {
			places = placed
		}
	}
	return places, places != nil
}

// slownesses lists the different speeds of the candidates that can take a task, the fastest
// first.
func slownesses(nodes []Node, maxTasks, candidates []int) (found []int) {
	for _, i := range candidates {
		if maxTasks[i] > 0 && !slices.Contains(found, nodes[i].Slowness) {
			found = append(found, nodes[i].Slowness)
		}
	}
	slices.Sort(found)
	return found
}

// comparePlaces returns a negative number if placement a of a gang is better than b: it has
// the lower cost or, if these are equal, the better speeds. With FastFirst, that is the faster
// slowest node, then fewer nodes of unknown speed, then less waste. With SlowFirst, both the
// waste and the use of fast nodes count.
func comparePlaces(nodes []Node, r Request, a, b []int) int {
	if c := cmp.Compare(totalCost(nodes, a), totalCost(nodes, b)); c != 0 {
		return c
	}
	x, y := pace(nodes, a), pace(nodes, b)
	if r.Speed == SlowFirst {
		return cmp.Compare(wasteWeight*x.waste-x.total, wasteWeight*y.waste-y.total)
	}
	return cmp.Or(cmp.Compare(x.slowest, y.slowest), cmp.Compare(x.unknown, y.unknown), cmp.Compare(x.waste, y.waste))
}

// wasteWeight is how much more the waste of a node's speed counts than its use by work that
// could run on a slower one.
const wasteWeight = 2

// speeds sums up the slowness of the nodes of a gang's tasks.
type speeds struct {
	// slowest is the slowness of the slowest node, total that of all nodes, and waste the sum
	// of how much faster than the slowest they are.
	slowest, total, waste int
	// unknown counts the tasks on nodes of unknown speed.
	unknown int
}

func pace(nodes []Node, places []int) (s speeds) {
	s.slowest = nodes[places[0]].Slowness
	for _, p := range places {
		s.slowest = max(s.slowest, nodes[p].Slowness)
		s.total += nodes[p].Slowness
		if nodes[p].Unknown {
			s.unknown++
		}
	}
	s.waste = s.slowest*len(places) - s.total
	return s
}
