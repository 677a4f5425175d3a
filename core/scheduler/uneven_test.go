package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// unevenPlay plays a load on targets of 16, 16 and 24 cores. Tasks need about half of
// the smaller ones.
type unevenPlay struct {
	*harness
	// jobRNG draws the jobs and runRNG their run times, so that all policies get the same
	// jobs.
	jobRNG, runRNG *rand.Rand

	ends  map[RunID]time.Time
	polls map[string]Poll
	// ended counts the completions by target.
	ended  map[string]int64
	served map[string]bool
	// drawn holds the jobs by ID.
	drawn map[string]Job
}

func newUnevenPlay(t *testing.T, seed uint64) *unevenPlay {
	var all []Target
	for i := range 48 {
		all = append(all, idleTarget(fmt.Sprintf("t%02d", i), []int64{16_000, 16_000, 24_000}[i%3]))
	}
	h := &harness{t: t, now: time.Unix(1000, 0), s: New(Config{Lease: testLease, MaxClockDrift: testClockDrift})}
	h.send(TargetsChanged{Targets: all})
	for _, p := range take[Poll](h) {
		h.answerPoll(p.Target, PollReturned{})
	}
	return &unevenPlay{
		harness: h, jobRNG: rand.New(rand.NewPCG(seed, 1)), runRNG: rand.New(rand.NewPCG(seed, 2)), ends: map[RunID]time.Time{}, polls: map[string]Poll{},
		ended: map[string]int64{}, served: map[string]bool{}, drawn: map[string]Job{},
	}
}

// drawJob draws a job of 1 to 4 equal tasks.
func (p *unevenPlay) drawJob(number int) Job {
	j := testJob(fmt.Sprint("j", number), 1+p.jobRNG.IntN(4))
	j.Steps[0].CPU = 50 * int64(160*min(1.5, math.Exp(0.2*p.jobRNG.NormFloat64())))
	j.Steps[0].MemoryMB = 1
	j.Steps[0].Estimate = time.Duration(200 * math.Exp(0.4*p.jobRNG.NormFloat64()) * float64(time.Millisecond))
	j.Arrived, j.Deadline = p.now, p.now.Add(3*time.Second)
	p.drawn[j.ID] = j
	return j
}

// answer answers the requests to the targets.
func (p *unevenPlay) answer() {
	for _, a := range take[Start](p.harness) {
		estimate := p.s.jobs[a.Run.Task.Job].Steps[0].Estimate
		p.ends[a.Run] = p.now.Add(time.Duration(float64(estimate) * math.Exp(0.15*p.runRNG.NormFloat64())))
		p.send(StartReturned{Run: a.Run, Target: a.Target, Result: StartAccepted, ClockMS: p.now.UnixMilli()})
	}
	for _, a := range take[Poll](p.harness) {
		p.polls[a.Target] = a
	}
	for _, t := range p.s.sortedTargets {
		poll, polled := p.polls[t.ID]
		if !polled {
			continue
		}
		ev := PollReturned{Target: t.ID, Answered: true, Incarnation: 1, ClockMS: p.now.UnixMilli(), Sent: poll.Sent}
		for _, r := range t.sortedRuns() {
			switch end, ok := p.ends[r.id]; {
			case ok && !p.now.Before(end):
				p.ended[t.ID]++
				delete(p.ends, r.id)
				ev.Completions = append(ev.Completions, Completion{Number: p.ended[t.ID], Run: r.id, Result: RunSucceeded})
			case ok:
				ev.Running = append(ev.Running, r.id)
			}
		}
		if len(ev.Completions) > 0 || p.now.Sub(poll.Sent) >= poll.MaxWait {
			delete(p.polls, t.ID)
			p.send(ev)
		}
	}
	for _, r := range take[Reply](p.harness) {
		if _, ok := r.Outcome.(Completed); ok && r.Summary.Age <= r.Summary.Objective {
			p.served[r.Job] = true
		}
	}
}
