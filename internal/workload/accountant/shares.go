package accountant

import "slices"

// Shares counts the jobs that each workspace has had accepted, by the time of their acceptance.
// The zero value is ready to use.
type Shares struct {
	jobs map[string]acceptance
	// acceptedMS holds the sorted times of each workspace's jobs.
	acceptedMS map[string][]int64
}

// acceptance is when a job of a workspace was accepted.
type acceptance struct {
	workspace string
	atMS      int64
}

// Add counts a job. It returns false and does nothing if the job is counted already.
func (s *Shares) Add(job, workspace string, acceptedMS int64) (added bool) {
	if _, known := s.jobs[job]; known {
		return false
	}
	if s.jobs == nil {
		s.jobs, s.acceptedMS = map[string]acceptance{}, map[string][]int64{}
	}
	s.jobs[job] = acceptance{workspace, acceptedMS}
	times := s.acceptedMS[workspace]
	// Nearly all jobs are added in the order of their acceptance.
	i := len(times)
	for i > 0 && times[i-1] > acceptedMS {
		i--
	}
	s.acceptedMS[workspace] = slices.Insert(times, i, acceptedMS)
	return true
}

// Remove removes a job.
func (s *Shares) Remove(job string) {
	a, known := s.jobs[job]
	if !known {
		return
	}
	delete(s.jobs, job)
	times := s.acceptedMS[a.workspace]
	if i, found := slices.BinarySearch(times, a.atMS); found {
		s.acceptedMS[a.workspace] = slices.Delete(times, i, i+1)
	}
}

// Beyond reports whether a job that was accepted at acceptedMS is beyond its workspace's share: more
// than weight jobs for each second of the window were accepted in the window that ends then. A
// weight of 0 sets no share.
func (s *Shares) Beyond(workspace string, acceptedMS int64, weight float64, windowMS int64) bool {
	if weight <= 0 {
		return false
	}
	times := s.acceptedMS[workspace]
	first, _ := slices.BinarySearch(times, acceptedMS-windowMS+1)
	end, _ := slices.BinarySearch(times, acceptedMS+1)
	return float64(end-first) > weight*float64(windowMS)/1000
}

// Reset removes all jobs.
func (s *Shares) Reset() { s.jobs, s.acceptedMS = nil, nil }
