package placer

import (
	"cmp"
	"slices"
)

// Shape is one instance of a guarantee.
type Shape struct {
	Workspace string
	Guarantee string
	Request   Request
}

// Packing says where each shape could stand, all of them at once. Places[i]
// is nil when shape i found no place.
type Packing struct {
	Shapes   []Shape
	Places   [][]Place
	Unplaced int
}

// Pack places all shapes at once, the largest first. It spreads them over the
// failure domains, so that the loss of one leaves as many as possible, and
// falls back to dense packing when spreading leaves more of them unplaced.
func (f *Fleet) Pack(free Free, shapes []Shape, o Options) Packing {
	order := packingOrder(shapes)
	if o.Dense {
		return f.packDense(free.Clone(), shapes, order, o)
	}
	spread := f.packSpread(free.Clone(), shapes, order, o)
	if spread.Unplaced == 0 {
		return spread
	}
	dense := f.packDense(free.Clone(), shapes, order, o)
	if dense.Unplaced < spread.Unplaced {
		return dense
	}
	return spread
}

func packingOrder(shapes []Shape) []int {
	order := make([]int, len(shapes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := shapes[a].Request, shapes[b].Request
		return cmp.Or(
			cmp.Compare(y.Each.Accelerators, x.Each.Accelerators),
			cmp.Compare(y.Tasks*y.Each.Accelerators, x.Tasks*x.Each.Accelerators),
		)
	})
	return order
}

func (f *Fleet) packDense(free Free, shapes []Shape, order []int, o Options) Packing {
	p := Packing{Shapes: shapes, Places: make([][]Place, len(shapes))}
	for _, i := range order {
		places, ok := f.Place(free, shapes[i].Request, o)
		p.put(free, i, places, ok)
	}
	return p
}

func (f *Fleet) packSpread(free Free, shapes []Shape, order []int, o Options) Packing {
	p := Packing{Shapes: shapes, Places: make([][]Place, len(shapes))}
	used := f.domainLoads()
	for _, i := range order {
		places, ok := f.placeInLeastUsed(free, shapes[i].Request, o, used)
		if !ok {
			places, ok = f.Place(free, shapes[i].Request, o)
		}
		p.put(free, i, places, ok)
		used.add(f, places)
	}
	return p
}

func (p *Packing) put(free Free, i int, places []Place, ok bool) {
	if !ok {
		p.Unplaced++
		return
	}
	p.Places[i] = places
	free.Take(places)
}

// domainLoads counts packed accelerators for each failure domain.
type domainLoads []domainLoad

type domainLoad struct {
	domain       string
	accelerators int
}

func (f *Fleet) domainLoads() domainLoads {
	var loads domainLoads
	for _, s := range f.spans[domainLevel] {
		loads = append(loads, domainLoad{domain: f.Nodes[s.from].Domain})
	}
	return loads
}

func (f *Fleet) placeInLeastUsed(free Free, r Request, o Options, used domainLoads) ([]Place, bool) {
	slices.SortStableFunc(used, func(a, b domainLoad) int { return cmp.Compare(a.accelerators, b.accelerators) })
	for _, load := range used {
		o.Domain = load.domain
		if places, ok := f.Place(free, r, o); ok {
			return places, true
		}
	}
	return nil, false
}

func (l domainLoads) add(f *Fleet, places []Place) {
	for _, p := range places {
		for i := range l {
			if l[i].domain == f.Nodes[p.Node].Domain {
				l[i].accelerators += p.Tasks * p.Each.Accelerators
			}
		}
	}
}
