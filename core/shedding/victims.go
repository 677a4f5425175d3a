package shedding

import (
	"cmp"
	"slices"
	"time"
)

// fits reports whether a job can be in time if it gets all room at once.
func (p *planner) fits(j Job) bool {
	cores, runTime := p.need(j)
	return (cores > 0 || j.Cores <= 0) && runTime-j.RunTime <= j.LatestStart
}

// reconsider puts the jobs back that gave way to one that will be late itself. It reports
// whether there are any. The job with the highest price of such a chain stays late, so
// that each call makes progress.
func (p *planner) reconsider() bool {
	late := make([]bool, len(p.jobs))
	for _, i := range p.late {
		late[i] = true
	}
	var stay []int
	for _, i := range p.late {
		if other := p.preferred[i]; other >= 0 && late[other] {
			p.kept = append(p.kept, i)
		} else {
			stay = append(stay, i)
		}
	}
	found := len(stay) < len(p.late)
	p.late = stay
	for _, i := range p.kept {
		p.preferred[i] = -1
	}
	// The index makes the order independent of that in which the jobs were removed.
	slices.SortFunc(p.kept, func(a, b int) int { return cmp.Or(p.compare(a, b), cmp.Compare(a, b)) })
	return found
}

// victims returns the kept jobs with the lowest prices, all below that of a job after
// them, that have to give way for it to start earlier by the time missing. It returns
// none if they do not free enough room. After maxPasses it returns at least twice as many
// in each pass, also from the jobs behind, which most likely have to give way next.
func (p *planner) victims(last int, missing time.Duration, behind []int) []int {
	var cheaper []int
	add := func(jobs []int) {
		for _, i := range jobs {
			if j := p.jobs[i]; !j.Started && p.price[i] < p.price[last] && j.work() > 0 {
				cheaper = append(cheaper, i)
			}
		}
	}
	add(p.kept)
	before := make([]bool, len(p.jobs))
	for _, i := range cheaper {
		before[i] = true
	}
	atLeast := 0
	if p.passes > maxPasses {
		atLeast = 1 << min(p.passes-maxPasses, 30)
		add(behind)
	}
	slices.SortStableFunc(cheaper, func(a, b int) int {
		return cmp.Or(cmp.Compare(p.price[a], p.price[b]), cmp.Compare(p.jobs[a].Age, p.jobs[b].Age))
	})
	needed, removed := missing.Seconds()*p.room.Cores, 0.0
	n := 0
	for ; n < len(cheaper) && (removed < needed || n < atLeast); n++ {
		if before[cheaper[n]] {
			removed += p.jobs[cheaper[n]].work()
		}
	}
	if removed < needed {
		return nil
	}
	victims := cheaper[:n]
	if atLeast > 0 {
		return victims
	}
	// Small victims may be unnecessary beside a large one that was added later.
	for n := len(victims) - 1; n >= 0; n-- {
		if work := p.jobs[victims[n]].work(); removed-work >= needed {
			removed -= work
			victims = slices.Delete(victims, n, n+1)
		}
	}
	return victims
}

// nextPriceAbove returns the kept job with the lowest price above that of a job, or -1.
func (p *planner) nextPriceAbove(last int) int {
	found := -1
	for _, i := range p.kept {
		if p.price[i] > p.price[last] && (found < 0 || p.price[i] < p.price[found]) {
			found = i
		}
	}
	return found
}
