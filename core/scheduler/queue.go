package scheduler

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// jobsWhere returns the jobs that satisfy a condition, sorted by ID.
func (s *Scheduler) jobsWhere(ok func(*job) bool) []*job {
	return sortedWhere(maps.Values(s.jobs), ok)
}

// queuedWhere returns the queued jobs that satisfy a condition, sorted by ID. All jobs
// with tasks to place are queued.
func (s *Scheduler) queuedWhere(ok func(*job) bool) []*job {
	return sortedWhere(slices.Values(s.queue), ok)
}

func sortedWhere(all iter.Seq[*job], ok func(*job) bool) []*job {
	var out []*job
	for j := range all {
		if ok(j) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, compareIDs)
	return out
}

func compareIDs(a, b *job) int { return cmp.Compare(a.ID, b.ID) }

func (s *Scheduler) enqueue(j *job) {
	j.countUnplaced()
	if j.queued || j.unplaced == 0 {
		return
	}
	j.queued = true
	i, _ := slices.BinarySearchFunc(s.queue, j, compareJobs)
	s.queue = slices.Insert(s.queue, i, j)
}

func (s *Scheduler) dequeue(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	s.queue = slices.DeleteFunc(s.queue, func(q *job) bool { return q == j })
}

func (s *Scheduler) sortedJobs() []*job {
	return slices.SortedFunc(maps.Values(s.jobs), compareIDs)
}
