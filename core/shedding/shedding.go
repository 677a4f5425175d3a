// Package shedding decides which queued jobs are served, in which order, and which
// are turned away when there is too little room for all.
//
// The order is that of the latest starts, which serves all jobs in time if that is
// possible. If it is not, the jobs that cost callers least for each core-second give
// way until the rest can start in time.
package shedding

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Job is a job with tasks that wait for room. Times are relative to now.
type Job struct {
	// Cores is the room that the waiting tasks need together, and RunTime how long
	// they need it.
	Cores   float64
	RunTime time.Duration
	// Price is what it costs callers to turn the job away, for each core-second. See
	// Demand.Price.
	Price float64
	// LatestStart is when the last task has to start for the answer to be in time. If it
	// starts after LatestUseful, the answer comes too late to be of use.
	LatestStart, LatestUseful time.Duration
	// Age is the time since the job was submitted.
	Age time.Duration
	// Refusals counts the earlier submissions of the job that were turned away.
	Refusals int
	// Started is set if tasks of the job may have run. It is never turned away.
	Started bool
}

// Release is room that becomes free.
type Release struct {
	At    time.Duration
	Cores float64
}

// Room is the room for the jobs.
type Room struct {
	// Free can be used now. Releases are expected later, in any order.
	Free     float64
	Releases []Release
	// Cores is all room that can be used, busy or free.
	Cores float64
	// Arriving is the work that arrives, in core-seconds per second, by price. It
	// comes before queued jobs of a lower price.
	Arriving []Arrival
}

// Arrival is the work that arrives at a price, in core-seconds per second.
type Arrival struct{ Price, Rate float64 }

// Reason says why a job is turned away.
type Reason int

const (
	// NoRoom means that the job cannot end while its answer is of use.
	NoRoom Reason = iota
	// GaveWay means that a job that costs callers more takes the room.
	GaveWay
)

// Refusal is the decision to turn a job away.
type Refusal struct {
	// Job and Preferred are indexes of jobs. Preferred is the job that takes the
	// room, or -1.
	Job, Preferred int
	Reason         Reason
}

// Plan is the decision about a queue.
type Plan struct {
	// Order holds the indexes of the jobs to serve: first those that are forecast to
	// be in time, by their latest starts, and then those that will be late.
	Order []int
	// InTime is the number of jobs in Order that are forecast to be in time.
	InTime  int
	Refused []Refusal
}

const (
	// maxArrivingShare bounds the share of the room that work that is yet to arrive
	// is assumed to take. A job that will be late is not kept beside more.
	maxArrivingShare = 0.95
	// refusalWeight is by how much each earlier refusal raises the price of a job, so
	// that no caller is turned away again and again while others are served.
	refusalWeight = 0.5
)

// New decides about jobs.
func New(jobs []Job, room Room) Plan {
	p := &planner{jobs: jobs, room: room, price: make([]float64, len(jobs)), preferred: make([]int, len(jobs))}
	for i, j := range jobs {
		p.price[i] = j.Price * (1 + refusalWeight*float64(j.Refusals))
		p.preferred[i] = -1
		p.kept = append(p.kept, i)
	}
	slices.SortStableFunc(p.kept, p.compare)
	for p.removeLate() {
	}
	out := Plan{Order: p.kept, InTime: len(p.kept)}
	slices.SortStableFunc(p.late, func(a, b int) int { return cmp.Compare(p.price[b], p.price[a]) })
	for _, i := range p.late {
		if start := p.start(i, true); start <= jobs[i].LatestUseful && p.arrivingShare(p.price[i], true) < maxArrivingShare {
			out.Order = append(out.Order, i)
			continue
		}
		reason := NoRoom
		if p.preferred[i] >= 0 {
			reason = GaveWay
		}
		out.Refused = append(out.Refused, Refusal{Job: i, Preferred: p.preferred[i], Reason: reason})
	}
	return out
}

// planner holds the state of one decision.
type planner struct {
	jobs []Job
	room Room
	// price is by job. preferred is the job for which a job had to give way, or -1.
	price     []float64
	preferred []int
	// kept are the jobs that are to be in time, in order, late the others.
	kept, late []int
	// free and releases are the room after the kept jobs, wait the time until the
	// last of them has started.
	free     float64
	releases releaseHeap
	wait     time.Duration
}

// compare orders jobs: first those that have started, then by latest start.
func (p *planner) compare(a, b int) int {
	x, y := p.jobs[a], p.jobs[b]
	if x.Started != y.Started {
		if x.Started {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(x.LatestStart, y.LatestStart), cmp.Compare(y.Age, x.Age))
}

// removeLate takes jobs out of kept for the first job that would be late. It reports
// whether there was one.
func (p *planner) removeLate() bool {
	p.free, p.wait = p.room.Free, 0
	p.releases = append(p.releases[:0], p.room.Releases...)
	heap.Init(&p.releases)
	for n, i := range p.kept {
		j := p.jobs[i]
		if j.Started {
			p.start(i, false)
			continue
		}
		if j.LatestStart < 0 {
			p.remove(i, -1)
			return true
		}
		if start := p.start(i, false); start > j.LatestStart {
			p.makeRoom(n, start-j.LatestStart)
			return true
		}
	}
	return false
}

// makeRoom takes the jobs with the lowest prices out of the first n+1 kept jobs, until
// the last of them can start earlier by the time missing.
func (p *planner) makeRoom(n int, missing time.Duration) {
	last := p.kept[n]
	var cheaper []int
	for _, i := range p.kept[:n] {
		if !p.jobs[i].Started && p.price[i] < p.price[last] {
			cheaper = append(cheaper, i)
		}
	}
	slices.SortStableFunc(cheaper, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.price[a], p.price[b]), cmp.Compare(p.jobs[a].Age, p.jobs[b].Age))
	})
	needed, removed := missing.Seconds()*p.room.Cores, 0.0
	var victims []int
	for _, i := range cheaper {
		if removed >= needed {
			break
		}
		removed += p.jobs[i].work()
		victims = append(victims, i)
	}
	if len(victims) == 0 || removed < needed {
		p.remove(last, p.dearerBefore(n))
		return
	}
	for _, i := range victims {
		p.remove(i, last)
	}
}

// dearerBefore returns the job with the lowest price among those before position n of
// kept that cost more than the job there, or -1.
func (p *planner) dearerBefore(n int) int {
	found := -1
	for _, i := range p.kept[:n] {
		if p.price[i] > p.price[p.kept[n]] && (found < 0 || p.price[i] < p.price[found]) {
			found = i
		}
	}
	return found
}

// remove takes a job out of kept because of the job preferred, or -1.
func (p *planner) remove(i, preferred int) {
	p.kept = slices.DeleteFunc(p.kept, func(k int) bool { return k == i })
	p.late = append(p.late, i)
	p.preferred[i] = preferred
}

// start returns the forecast time at which the last task of a job starts after those
// for which it was called before, and takes the room. A late job also starts after
// work of its own price that is yet to arrive.
func (p *planner) start(i int, late bool) time.Duration {
	j := p.jobs[i]
	at := time.Duration(0)
	for p.free < j.Cores && len(p.releases) > 0 {
		r := heap.Pop(&p.releases).(Release)
		at = max(at, r.At)
		p.free += r.Cores
	}
	if p.free < j.Cores {
		return max(j.LatestStart, j.LatestUseful) + 1
	}
	at = max(at, p.wait)
	p.free -= j.Cores
	heap.Push(&p.releases, Release{At: at + j.RunTime, Cores: j.Cores})
	p.wait = at
	return time.Duration(float64(at) / (1 - p.arrivingShare(p.price[i], late)))
}

// arrivingShare returns the share of the room that arriving work of a higher price
// takes, and if late is set, that of the same price.
func (p *planner) arrivingShare(price float64, late bool) float64 {
	rate := 0.0
	for _, a := range p.room.Arriving {
		if a.Price > price || late && a.Price == price {
			rate += a.Rate
		}
	}
	if p.room.Cores <= 0 {
		return maxArrivingShare
	}
	return min(rate/p.room.Cores, maxArrivingShare)
}

// work returns the work of a job in core-seconds.
func (j Job) work() float64 { return j.Cores * j.RunTime.Seconds() }

// releaseHeap implements heap.Interface, the earliest release first.
type releaseHeap []Release

func (h releaseHeap) Len() int           { return len(h) }
func (h releaseHeap) Less(i, k int) bool { return h[i].At < h[k].At }
func (h releaseHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *releaseHeap) Push(x any)        { *h = append(*h, x.(Release)) }
func (h *releaseHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
