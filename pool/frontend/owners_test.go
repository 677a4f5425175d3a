package frontend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"marigoldfront.dev/pool/relay"
)

// rankPlay plays jobs that 24 senders send to six owners. Each sender has a report of
// each owner, of a time of its own, that is up to 250 ms old.
type rankPlay struct {
	rng *rand.Rand
	// backlog is the work that waits at each owner, as a time.
	backlog [6]time.Duration
	reports [24][6]time.Duration
	// exact is set if the reports are always new.
	exact bool
	// meanWait is the mean wait of the jobs.
	meanWait time.Duration
}

// run sends a job each millisecond, for 1.03 of the room, with choose as the choice of
// the owner.
func (p *rankPlay) run(choose func(reports [6]time.Duration) int) {
	const jobs, perJob = 4000, 6 * time.Millisecond * 103 / 100
	for ms := range jobs {
		for s := range p.reports {
			if p.exact || ms%250 == s*10 {
				p.reports[s] = p.backlog
			}
		}
		o := choose(p.reports[p.rng.IntN(len(p.reports))])
		p.meanWait += p.backlog[o] / jobs
		p.backlog[o] += perJob
		for i := range p.backlog {
			p.backlog[i] = max(0, p.backlog[i]-time.Millisecond)
		}
	}
}

// Guards against senders that all send their jobs to the owner that their last reports
// show as the best one, while others run out of work.
func TestSendersOfSimilarReportsUseAllOwners(t *testing.T) {
	now := time.Now()
	best := func(reports [6]time.Duration) int {
		lowest := 0
		for i, wait := range reports {
			if wait < reports[lowest] {
				lowest = i
			}
		}
		return lowest
	}
	random := rand.New(rand.NewPCG(1, 2))
	ranked := func(reports [6]time.Duration) int {
		var all []candidate
		for i, wait := range reports {
			all = append(all, candidate{
				address: fmt.Sprint(i), sameZone: true, load: relay.Load{ReportedAt: now, ForecastWait: wait, FreeCPU: 1},
			})
		}
		rank(all, now, 1, random.Float64)
		return int(all[0].address[0] - '0')
	}
	play := func(exact bool, choose func([6]time.Duration) int) (mean time.Duration) {
		const seeds = 10
		for seed := range uint64(seeds) {
			p := rankPlay{rng: rand.New(rand.NewPCG(seed, 1)), exact: exact}
			p.run(choose)
			mean += p.meanWait / seeds
		}
		return mean
	}
	least, old, got := play(true, best), play(false, best), play(false, ranked)
	t.Logf("mean wait: %v with exact reports, %v at the best owners by old ones, %v at the ranked ones", least, old, got)
	if got-least > (old-least)/2 {
		t.Errorf("old reports cost a wait of %v in the mean, want at most half of %v", got-least, old-least)
	}
}

// Guards against jobs that leave their zone while an owner there has free capacity.
func TestOwnerWithoutWaitStaysFirst(t *testing.T) {
	now := time.Now()
	for range 1000 {
		all := []candidate{
			{address: "other zone", load: relay.Load{ReportedAt: now, FreeCPU: 1000}},
			{address: "queue", sameZone: true, load: relay.Load{ReportedAt: now, ForecastWait: 300 * time.Millisecond}},
			{address: "free", sameZone: true, load: relay.Load{ReportedAt: now, FreeCPU: 1000}},
		}
		if rank(all, now, 1000, rand.Float64); all[0].address == "other zone" {
			t.Fatalf("the owners are in the order %v", all)
		}
	}
}
