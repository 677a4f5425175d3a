package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// fullHarness returns a harness whose only target is full for a second.
func fullHarness(t *testing.T) *harness {
	h := newHarness(t, testTarget("a"))
	j := testJob("running", 2)
	j.Steps[0].Estimate = time.Second
	h.submit(1, j)
	for _, st := range take[Start](h) {
		h.answerStart(st, StartAccepted)
	}
	return h
}

// returnableJob returns a job that waits for at most 25 ms. Its objective leaves 180 ms
// for a wait.
func returnableJob(id string) Job {
	j := testJob(id, 1)
	j.ReturnAfter = 25 * time.Millisecond
	return j
}

// Guards against a job that waits in the queue of one owner while another one has free
// capacity, and against a return that is late because no event causes it.
func TestWaitingJobIsReturned(t *testing.T) {
	h := fullHarness(t)
	h.submit(2, returnableJob("waiting"))
	if wake := h.s.NextWake(); wake.After(h.now.Add(25 * time.Millisecond)) {
		t.Errorf("the next decision is due in %v, want at most 25 ms", wake.Sub(h.now))
	}
	h.advance(20 * time.Millisecond)
	none[Reply](h)
	h.advance(10 * time.Millisecond)
	if r := one[Reply](h); r.Job != "waiting" || r.Outcome != (Refused{Reason: ReasonReturned, RetryAfter: minRetryAfter}) {
		t.Errorf("the outcome of %q is %#v", r.Job, r.Outcome)
	}
	h.advance(2 * time.Second)
	for _, st := range take[Start](h) {
		if st.Run.Task.Job == "waiting" {
			t.Error("a returned job has started")
		}
	}
}

// Guards against jobs that are sent from owner to owner although they have the time to
// wait, which costs a call for each.
func TestJobThatHasTimeIsNotReturned(t *testing.T) {
	h := fullHarness(t)
	j := returnableJob("waiting")
	j.Slack = 5 * time.Second
	h.submit(2, j)
	h.advance(200 * time.Millisecond)
	none[Reply](h)
}

// Guards against a job that runs at two owners or is said not to have run: it has
// started, or another sender awaits it too, or one of its tasks may have run before.
func TestJobThatMayRunIsNotReturned(t *testing.T) {
	for name, prepare := range map[string]func(h *harness){
		"started": func(h *harness) {
			j := returnableJob("j")
			j.Steps[0].Count, j.Steps[0].CPU = 3, 10_000
			h.submit(2, j)
			h.answerStart(one[Start](h), StartUnanswered)
		},
		"two senders": func(h *harness) {
			h.submit(2, returnableJob("j"))
			h.submit(3, returnableJob("j"))
		},
		"run of an earlier submission": func(h *harness) {
			j := testJob("j", 1)
			j.Steps[0].CPU = 10_000
			h.submit(2, j)
			h.answerStart(one[Start](h), StartAccepted)
			h.send(Withdraw{Request: 2})
			take[Reply](h)
			h.submit(3, returnableJob("j"))
		},
		"crash in an earlier submission": func(h *harness) {
			h.send(CrashReported{Crash: Crash{
				Target: "b", Incarnation: 3, State: CrashConfirmed, Tasks: []TaskID{{Job: "j"}},
			}})
			h.submit(2, returnableJob("j"))
		},
	} {
		h := fullHarness(t)
		prepare(h)
		h.advance(60 * time.Millisecond)
		for _, r := range take[Reply](h) {
			if r.Job == "j" {
				t.Errorf("%s: the outcome after 60 ms is %#v", name, r.Outcome)
			}
		}
	}
}

// unevenPair plays one load on two owners. Their senders choose by reports that are up
// to 200 ms old, so that one of them gets most of the jobs for that time.
type unevenPair struct {
	owners  [2]*unevenPlay
	rng     *rand.Rand
	returns bool
	jobs    int
}

// run submits jobs at a rate per second and returns how many are served in time.
func (p *unevenPair) run(rate float64, d time.Duration) int {
	a, b := p.owners[0], p.owners[1]
	begin, preferred := a.now, 0
	for a.now.Sub(begin) < d {
		if a.now.Sub(begin)%(200*time.Millisecond) == 0 {
			preferred = p.rng.IntN(2)
		}
		for range 2 {
			if p.rng.Float64() < rate/2000 {
				p.submit(preferred)
			}
		}
		for _, o := range p.owners {
			o.now = o.now.Add(time.Millisecond)
			o.send(Tick{})
		}
		a.now, b.now = maxTime(a.now, b.now), maxTime(a.now, b.now)
		for i, o := range p.owners {
			p.handleReturns(i)
			o.answer()
		}
	}
	return len(a.served) + len(b.served)
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// submit sends a new job to the preferred owner in four of five cases.
func (p *unevenPair) submit(preferred int) {
	if p.rng.IntN(5) == 0 {
		preferred = 1 - preferred
	}
	p.jobs++
	j := p.owners[0].drawJob(p.jobs)
	if p.returns {
		j.ReturnAfter = 25 * time.Millisecond
	}
	p.owners[preferred].submit(RequestID(p.jobs), j)
}

// handleReturns sends the jobs that owner i has returned to the other owner, or back if
// it has no free capacity for them.
func (p *unevenPair) handleReturns(i int) {
	o, other := p.owners[i], p.owners[1-i]
	all := o.actions
	o.actions = nil
	for _, a := range all {
		r, ok := a.(Reply)
		if ok && r.Outcome == (Refused{Reason: ReasonReturned, RetryAfter: minRetryAfter}) {
			j := o.drawn[r.Job]
			j.ReturnAfter = 0
			dest := o
			if st := other.s.Stats(); st.Queued == 0 && st.FreeCPU >= int64(j.Steps[0].Count)*j.Steps[0].CPU {
				dest = other
			}
			dest.send(Submit{Request: r.Requests[0], Job: j})
			continue
		}
		o.actions = append(o.actions, a)
	}
}

// Guards against capacity of one owner that stands idle while jobs wait at another, to
// which their senders sent them by an outdated report.
func TestQueuedWorkIsBalancedBetweenOwners(t *testing.T) {
	var served [2]int
	for seed := range uint64(4) {
		for i, returns := range []bool{false, true} {
			p := &unevenPair{returns: returns, rng: rand.New(rand.NewPCG(seed, 3))}
			p.owners[0], p.owners[1] = newUnevenPlay(t, seed), newUnevenPlay(t, seed)
			p.owners[1].drawn = p.owners[0].drawn
			served[i] += p.run(260, 4*time.Second)
		}
	}
	t.Logf("%d jobs are served in time without returns and %d with them", served[0], served[1])
	if served[1] <= served[0] {
		t.Errorf("%d jobs are served in time, want more than the %d without returns", served[1], served[0])
	}
}
