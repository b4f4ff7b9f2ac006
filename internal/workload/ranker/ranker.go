// Package ranker puts waiting work in order. It is pure: the order depends on
// what callers declared and on the time.
//
//	k := ranker.Rank(ranker.Input{Priority: 0, Steps: steps, Stretch: 1.5, ObjectiveMS: 250, AcceptedMS: t0, NowMS: t1})
//	if ranker.Compare(k, other) < 0 {
//		// k's work goes first
//	}
package ranker

import (
	"cmp"

	"daisyhead/internal/workload/describer"
)

// Input describes a job that waits.
type Input struct {
	Priority    int
	Steps       []describer.Step
	Stretch     float64
	ObjectiveMS int64
	AcceptedMS  int64
	NowMS       int64
}

// Key orders work; see Compare.
type Key struct {
	Priority int
	// Expired is set when the job can no longer end in time to be worth anything.
	Expired bool
	// LatestStartMS is when the job has to start to end within its objective.
	LatestStartMS int64
}

// lateFactor times the objective is when a job's end is worth nothing any more.
const lateFactor = 3

// Rank returns the key of a job.
func Rank(in Input) Key {
	chain := Chain(in.Steps)
	objective := int64(in.Stretch*float64(chain)) + in.ObjectiveMS
	return Key{
		Priority:      in.Priority,
		Expired:       in.NowMS+chain > in.AcceptedMS+lateFactor*objective,
		LatestStartMS: in.AcceptedMS + objective - chain,
	}
}

// The credits of a job, from least to most.
const (
	CreditNone = iota
	CreditLate
	CreditFull
)

// Credit returns what callers get of a job that ends at in.NowMS.
func Credit(in Input) int {
	objective := int64(in.Stretch*float64(Chain(in.Steps))) + in.ObjectiveMS
	switch took := in.NowMS - in.AcceptedMS; {
	case took <= objective:
		return CreditFull
	case took <= lateFactor*objective:
		return CreditLate
	}
	return CreditNone
}

// Compare returns a negative number when a goes before b.
func Compare(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		compareBool(a.Expired, b.Expired),
		cmp.Compare(a.LatestStartMS, b.LatestStartMS),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// Chain returns the longest chain of estimated work, in milliseconds.
func Chain(steps []describer.Step) int64 {
	ends := make([]int64, len(steps))
	var longest int64
	for i, s := range steps {
		var from int64
		for _, a := range s.After {
			from = max(from, ends[a])
		}
		ends[i] = from + s.EstimateMS
		longest = max(longest, ends[i])
	}
	return longest
}
