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

// compare orders releases by time, and by room if they are at the same time.
func (r Release) compare(o Release) int {
	return cmp.Or(cmp.Compare(r.At, o.At), cmp.Compare(r.Cores, o.Cores))
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
	// coreTolerance is the difference up to which amounts of room count as equal,
	// because sums of them are rounded.
	coreTolerance = 1e-6
	// maxPasses bounds the time of a decision about a long queue. After so many, more
	// and more of the cheapest jobs give way at once, and nothing is reconsidered.
	// After twice as many, jobs that would be late give way themselves.
	maxPasses = 64
	// maxRounds bounds how often jobs are reconsidered that gave way to one that will
	// be late itself.
	maxRounds = 4
)

// New decides about jobs. The order of room.Releases and room.Arriving does not matter.
func New(jobs []Job, room Room) Plan {
	// Sums of floating-point numbers depend on the order.
	room.Releases, room.Arriving = slices.Clone(room.Releases), slices.Clone(room.Arriving)
	slices.SortFunc(room.Releases, Release.compare)
	slices.SortFunc(room.Arriving, func(a, b Arrival) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Rate, b.Rate))
	})
	p := &planner{jobs: jobs, room: room, price: make([]float64, len(jobs)), preferred: make([]int, len(jobs))}
	p.all = room.Free
	for _, r := range room.Releases {
		p.all += r.Cores
	}
	for i, j := range jobs {
		p.price[i] = j.Price * (1 + refusalWeight*float64(j.Refusals))
		p.preferred[i] = -1
		p.kept = append(p.kept, i)
	}
	slices.SortStableFunc(p.kept, p.compare)
	for p.removeLate() {
	}
	for n := 0; n < maxRounds && p.passes < maxPasses && p.reconsider(); n++ {
		for p.removeLate() {
		}
	}
	out := Plan{Order: p.kept, InTime: len(p.kept)}
	slices.SortStableFunc(p.late, func(a, b int) int { return cmp.Compare(p.price[b], p.price[a]) })
	for _, i := range p.late {
		st := p.forecast(i, true)
		if st.at <= jobs[i].LatestUseful && p.arrivingShare(p.price[i], true) < maxArrivingShare {
			p.take(i, st)
			out.Order = append(out.Order, i)
			continue
		}
		p.putBack(st)
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
	// passes counts the calls of removeLate.
	passes int
	// all is the room now and later. free and releases are the room after the kept
	// jobs, wait the time until the last of them has got its room.
	all      float64
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

// removeLate takes jobs out of kept until the others are in time or, if jobs before a
// late one have to give way, until those have. It reports whether that is the case.
func (p *planner) removeLate() bool {
	p.free, p.wait = p.room.Free, 0
	p.releases = append(p.releases[:0], p.room.Releases...)
	heap.Init(&p.releases)
	p.passes++
	kept := p.kept
	p.kept = make([]int, 0, len(kept))
	for n, i := range kept {
		j := p.jobs[i]
		if !j.Started && j.LatestStart < 0 {
			p.remove(i, -1)
			continue
		}
		start := p.forecast(i, false)
		if j.Started || start.at <= j.LatestStart {
			p.take(i, start)
			p.kept = append(p.kept, i)
			continue
		}
		p.putBack(start)
		var victims []int
		if p.fits(j) && p.passes < 2*maxPasses {
			victims = p.victims(i, start.at-j.LatestStart, kept[n+1:])
		}
		if len(victims) == 0 {
			p.remove(i, p.nextPriceAbove(i))
			continue
		}
		removed := make([]bool, len(p.jobs))
		for _, v := range victims {
			p.remove(v, i)
			removed[v] = true
		}
		p.kept = slices.DeleteFunc(append(p.kept, kept[n:]...), func(k int) bool { return removed[k] })
		return true
	}
	return false
}

// remove records that a job will be late because of the job preferred, or -1.
func (p *planner) remove(i, preferred int) {
	p.late = append(p.late, i)
	p.preferred[i] = preferred
}

// start is the forecast start of the last task of a job: when there is room, and, at,
// when there is in spite of work that arrives. used is the room that becomes free until
// then.
type start struct {
	room, at time.Duration
	used     []Release
}

// forecast returns the forecast start of a job after those for which take was called
// before. A job that needs more than all room runs in waves. A late job also starts after work of its own price that is yet to arrive. The
// caller has to call take or putBack next.
func (p *planner) forecast(i int, late bool) start {
	j := p.jobs[i]
	st := start{room: p.wait}
	cores, runTime := p.need(j)
	for p.free < cores-coreTolerance && len(p.releases) > 0 {
		r := heap.Pop(&p.releases).(Release)
		st.room = max(st.room, r.At)
		p.free += r.Cores
		st.used = append(st.used, r)
	}
	if cores <= 0 && j.Cores > 0 || p.free < cores-coreTolerance {
		st.at = max(j.LatestStart, j.LatestUseful) + 1
		return st
	}
	st.at = time.Duration(float64(st.room+runTime-j.RunTime) / (1 - p.arrivingShare(p.price[i], late)))
	return st
}

// need returns the room that a job takes and for how long. A job that needs more than
// all room takes all of it, and longer by the excess.
func (p *planner) need(j Job) (float64, time.Duration) {
	if j.Cores <= p.all || p.all <= 0 {
		return min(j.Cores, p.all), j.RunTime
	}
	return p.all, time.Duration(float64(j.RunTime) * j.Cores / p.all)
}

// take gives a job its room, or what there is if it needs more than all room.
func (p *planner) take(i int, st start) {
	j := p.jobs[i]
	cores, runTime := p.need(j)
	cores = min(cores, p.free)
	p.free -= cores
	heap.Push(&p.releases, Release{At: st.room + runTime, Cores: cores})
	p.wait = st.room
}

// putBack undoes a forecast.
func (p *planner) putBack(st start) {
	for _, r := range st.used {
		p.free -= r.Cores
		heap.Push(&p.releases, r)
	}
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
func (h releaseHeap) Less(i, k int) bool { return h[i].compare(h[k]) < 0 }
func (h releaseHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }
func (h *releaseHeap) Push(x any)        { *h = append(*h, x.(Release)) }
func (h *releaseHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
