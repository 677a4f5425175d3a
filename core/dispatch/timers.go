package dispatch

import (
	"container/heap"
	"time"
)

// timers is a heap of active jobs, ordered by the time at which their timer
// fires.
type timers []*activeJob

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].timerAt.Before(t[j].timerAt) }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timerIndex, t[j].timerIndex = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	j := x.(*activeJob)
	j.timerIndex = len(*t)
	*t = append(*t, j)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	j.timerIndex = -1
	return j
}

func (t *timers) add(j *activeJob, at time.Time) {
	j.timerAt = at
	heap.Push(t, j)
}

func (t *timers) move(j *activeJob, at time.Time) {
	j.timerAt = at
	heap.Fix(t, j.timerIndex)
}

func (t *timers) remove(j *activeJob) {
	if j.timerIndex >= 0 {
		heap.Remove(t, j.timerIndex)
	}
}
