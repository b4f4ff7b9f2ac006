// Package ranker orders waiting jobs by priority and by latest start time. Its
// functions are pure: the order depends only on what callers declared and on
// the time that is passed in.
//
//	k := ranker.Rank(ranker.Input{Priority: 0, Steps: steps, Stretch: 1.5, ObjectiveMS: 250, AcceptedMS: t0, NowMS: t1})
//	if ranker.Compare(k, other) < 0 {
//		// the job of k is placed first
//	}
package ranker

import (
	"cmp"

	"daisyhead/internal/workload/describer"
)

// Input describes a job and the policy of its queue. Stretch times the job's
// critical path, plus ObjectiveMS, is the time in which it is expected to end.
type Input struct {
	Priority    int // 0 is the most urgent
	Steps       []describer.Step
	Stretch     float64
	ObjectiveMS int64
	AcceptedMS  int64 // Unix milliseconds
	NowMS       int64 // Unix milliseconds
	// Claims is set if the job's workspace is guaranteed the capacity.
	Claims bool
	// BeyondShare is set if the job is beyond its workspace's share of new jobs.
	BeyondShare bool
	// Correction is the factor by which the estimates are multiplied; 0 counts as 1.
	Correction float64
}

// Key is the sort key of a job; see Compare.
type Key struct {
	Priority int
	// Claims is set if the job's workspace is guaranteed the capacity.
	Claims bool
	// BeyondShare is set if the job is beyond its workspace's share of new jobs.
	BeyondShare bool
	// Expired is set when the job can no longer earn any credit.
	Expired bool
	// LatestStartMS is the latest start, in Unix milliseconds, that still lets the
	// job end within its objective.
	LatestStartMS int64
	// LastUsefulStartMS is the latest start that still lets the job earn any credit.
	LastUsefulStartMS int64
}

// expiryFactor times the objective is the time after which a job that ends
// earns no credit.
const expiryFactor = 3

// Rank returns the sort key of a job.
func Rank(in Input) Key {
	criticalPathMS := CriticalPathMS(in.Steps)
	if in.Correction > 0 {
		criticalPathMS = int64(in.Correction * float64(criticalPathMS))
	}
	objectiveMS := int64(in.Stretch*float64(criticalPathMS)) + in.ObjectiveMS
	lastUsefulStartMS := in.AcceptedMS + expiryFactor*objectiveMS - criticalPathMS
	return Key{
		Priority:          in.Priority,
		Claims:            in.Claims,
		BeyondShare:       in.BeyondShare,
		Expired:           in.NowMS > lastUsefulStartMS,
		LatestStartMS:     in.AcceptedMS + objectiveMS - criticalPathMS,
		LastUsefulStartMS: lastUsefulStartMS,
	}
}

// Credit levels of a finished job, from lowest to highest.
const (
	CreditNone = iota
	CreditLate // ended after its objective, but not too late to be useful
	CreditFull // ended within its objective
)

// Credit returns the credit level of a job that ends at in.NowMS. It ignores
// in.Priority.
func Credit(in Input) int {
	objectiveMS := int64(in.Stretch*float64(CriticalPathMS(in.Steps))) + in.ObjectiveMS
	switch elapsedMS := in.NowMS - in.AcceptedMS; {
	case elapsedMS <= objectiveMS:
		return CreditFull
	case elapsedMS <= expiryFactor*objectiveMS:
		return CreditLate
	}
	return CreditNone
}

// Compare returns a negative number if a goes before b, a positive number if b
// goes before a, and 0 if they are equal. It orders by priority, then puts jobs that claim
// guaranteed capacity first, since other work is preempted for them, jobs beyond their workspace's
// share after those within it, and expired jobs last, then orders by latest start.
func Compare(a, b Key) int {
	return cmp.Or(
		Precedence(a, b),
		compareBool(a.Expired, b.Expired),
		cmp.Compare(a.LatestStartMS, b.LatestStartMS),
	)
}

// Precedence compares what takes precedence over any order by time or work.
func Precedence(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		compareBool(b.Claims, a.Claims),
		compareBool(a.BeyondShare, b.BeyondShare),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// CriticalPathMS returns the length of the critical path through the steps, in
// milliseconds of estimated run time.
func CriticalPathMS(steps []describer.Step) int64 {
	endMS := make([]int64, len(steps))
	var longestMS int64
	for i, s := range steps {
		var startMS int64
		for _, dependency := range s.After {
			startMS = max(startMS, endMS[dependency])
		}
		endMS[i] = startMS + s.EstimateMS
		longestMS = max(longestMS, endMS[i])
	}
	return longestMS
}
