//go:build !linux

package scheduler

import "time"

// sinceBoot returns 0: on this system, only the wall clock shows that the machine was
// suspended.
func sinceBoot() time.Duration { return 0 }
