package reducer

import (
	"math"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"daisyhead/internal/workload/describer"
)

const (
	// maxWorkerID is the longest worker ID for which sizes are estimated. The platform's IDs
	// have 12 characters.
	maxWorkerID = 16
	// unitReserve is for what a unit's record holds beside its tasks: the checkpoint's name
	// and the crashes, of which there are five at most.
	unitReserve = 8 << 10
)

// taskBytes is the largest part of a unit's record that one of its tasks takes. That is the
// record of a late start: a record has either these or the workers of the tasks.
var taskBytes = sync.OnceValue(func() int {
	unit := func(starts int) int {
		u := Unit{}
		for range starts {
			u.LateStarts = append(u.LateStarts, LateStart{
				Worker: strings.Repeat("x", maxWorkerID), Member: describer.MaxStepTasks, Run: math.MaxUint16, WaitMS: math.MaxUint16,
			})
		}
		return len(encode("", u).Value)
	}
	return unit(3) - unit(2)
})

// MaxUnitBytes returns about the largest size that the record of a step's unit reaches.
func MaxUnitBytes(s describer.Step) int {
	tasks := 1
	if s.Gang {
		tasks = s.Count
	}
	return unitReserve + tasks*taskBytes()
}

// CheckUnitSizes returns an error that wraps describer.ErrInvalid if the record of one of the
// job's units could exceed limit. The platform refuses such a record however often it is
// appended, so the holder could write nothing else.
func CheckUnitSizes(j describer.Job, limit int) error {
	for i, s := range j.Steps {
		if size := MaxUnitBytes(s); size > limit {
			return errors.Wrapf(describer.ErrInvalid, "the record of step %d, a gang of %d tasks, may have %d bytes, at most %d are allowed", i, s.Count, size, limit)
		}
	}
	return nil
}
