package dispatch

import (
	"container/heap"
	"time"
)

// timers orders active jobs by the time at which they need attention.
type timers []*activeJob

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].wake.Before(t[j].wake) }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timer, t[j].timer = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	j := x.(*activeJob)
	j.timer = len(*t)
	*t = append(*t, j)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	j.timer = -1
	return j
}

func (t *timers) add(j *activeJob, at time.Time) {
	j.wake = at
	heap.Push(t, j)
}

func (t *timers) move(j *activeJob, at time.Time) {
	j.wake = at
	heap.Fix(t, j.timer)
}

func (t *timers) remove(j *activeJob) {
	if j.timer >= 0 {
		heap.Remove(t, j.timer)
	}
}
