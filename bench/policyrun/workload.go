package policyrun

import (
	"math"
	"time"

	"marigoldfront.dev/core/dispatch"
)

// teams are the teams of a run. Each has one caller of the same name. The last
// team submits jobs only in scenarios with a FloodLoad.
var teams = []string{"north", "south", "east", "flood"}

const (
	// maxTasks is the maximum number of tasks of a job. The number is drawn
	// uniformly.
	maxTasks = 40
	// longShare is the share of tasks that take 2 to 5 s. The others take 50 ms
	// to 1 s.
	longShare = 0.02
)

// meanRunTime is the mean of the run times that drawRunTime draws.
var meanRunTime = time.Duration(float64(time.Second) * ((1-longShare)*0.95/math.Log(20) + longShare*3.5))

// drawRunTime draws the run time of a task at speed 1.
func (sim *simulation) drawRunTime() time.Duration {
	if sim.jobRNG.Float64() < longShare {
		return time.Duration(float64(time.Second) * (2 + 3*sim.jobRNG.Float64()))
	}
	return time.Duration(float64(50*time.Millisecond) * math.Pow(20, sim.jobRNG.Float64()))
}

// scheduleArrivals submits a job of a team and schedules the next one, until the
// end of the run. Arrivals are a Poisson process. rate returns the load that the
// team offers at a time since the start of the run, relative to the capacity.
// While it is 0, no job is submitted and the rate is checked every 10 ms.
func (sim *simulation) scheduleArrivals(team string, rate func(time.Duration) float64) {
	elapsed := sim.Now.Sub(sim.begin)
	if elapsed > sim.sc.Length {
		return
	}
	jobWork := meanRunTime.Seconds() * (1 + maxTasks) / 2
	if load := rate(elapsed); load > 0 {
		sim.submit(team)
		perSecond := load * sim.capacity() / jobWork
		sim.After(time.Duration(sim.jobRNG.ExpFloat64()/perSecond*float64(time.Second)), func() { sim.scheduleArrivals(team, rate) })
		return
	}
	sim.After(10*time.Millisecond, func() { sim.scheduleArrivals(team, rate) })
}

// submit submits a job of a team at a random entry instance.
func (sim *simulation) submit(team string) {
	e := sim.entries[sim.jobRNG.IntN(len(sim.entries))]
	s := e.sessions[team]
	s.lastSeq++
	s.unanswered[s.lastSeq] = true
	j := &job{
		id: dispatch.JobID{Session: s.id, Seq: s.lastSeq}, entry: e, team: team, arrivedAt: sim.Now,
		poison: sim.jobRNG.Float64() < sim.sc.PoisonShare, tooLarge: sim.jobRNG.Float64() < sim.sc.TooLargeShare,
	}
	sub := sim.newSubmission(j)
	sim.lastRequest++
	j.request = sim.lastRequest
	sim.jobs[j.id], sim.jobsByRequest[j.request] = j, j
	sim.allJobs = append(sim.allJobs, j)
	for !s.unanswered[s.acknowledged+1] && s.acknowledged+1 < s.lastSeq {
		s.acknowledged++
	}
	sim.handle(e, dispatch.Submit{
		Request: j.request, Job: j.id, Caller: team, Submission: sub, AcknowledgedBelow: s.acknowledged + 1,
	})
}

// newSubmission draws the tasks of a job and returns its submission.
func (sim *simulation) newSubmission(j *job) dispatch.Submission {
	sub := dispatch.Submission{Service: service, Repeatable: sim.jobRNG.Float64() < 0.9}
	for range 1 + sim.jobRNG.IntN(maxTasks) {
		d := sim.drawRunTime()
		j.tasks = append(j.tasks, d)
		j.idealTime = max(j.idealTime, d)
		sub.Tasks = append(sub.Tasks, dispatch.Task{Payload: []byte("0123456789"), Declared: sim.drawDeclared(d)})
	}
	j.idealTime += 500 * time.Microsecond
	sub.Timeout = 3*time.Second + 5*j.idealTime
	if j.tooLarge {
		sub.MemoryMB = memoryMB + 1
	}
	sub.Digest = j.id.Seq + 1
	return sub
}

// drawDeclared draws the run time that the caller declares for a task of run
// time d.
func (sim *simulation) drawDeclared(d time.Duration) time.Duration {
	factor := math.Exp(0.2 * sim.jobRNG.NormFloat64())
	if sim.sc.InaccurateDeclared {
		factor = math.Pow(10, 2*sim.jobRNG.Float64()-1)
	}
	return time.Duration(float64(d) * factor)
}

// openSessions opens a session of each team at each entry instance.
func (sim *simulation) openSessions() {
	for _, e := range sim.entries {
		for _, team := range teams {
			sim.lastRequest++
			e.sessions[team] = &callerSession{unanswered: map[uint64]bool{}}
			sim.handle(e, dispatch.OpenSession{Request: sim.lastRequest, Caller: team})
		}
	}
}

// recordSession records an opened session for the first team without one, as the
// sessions of an entry instance are opened one at a time in the order of teams.
func (sim *simulation) recordSession(e *entryInstance, a dispatch.ReplySession) {
	for _, team := range teams {
		if s := e.sessions[team]; s != nil && s.id == (dispatch.SessionID{}) {
			s.id = a.Session
			return
		}
	}
}

// recordAnswer records the first answer of a job.
func (sim *simulation) recordAnswer(a dispatch.ReplyAnswer) {
	j := sim.jobsByRequest[a.Request]
	if j == nil || j.answer != nil {
		return
	}
	j.answer, j.answeredAt = a.Answer, sim.Now
	delete(j.entry.sessions[j.team].unanswered, j.id.Seq)
}

// recordRun records a successful run of a task for the goodput, unless its job
// has already been answered.
func (sim *simulation) recordRun(t *target, r *run) {
	j := sim.jobs[r.start.Attempt.Job]
	if j.answer == nil {
		j.runs = append(j.runs, runInterval{from: r.startedAt, to: sim.Now, speed: t.speed})
	}
}

// cancelHalf cancels each job without an answer with a probability of one half.
func (sim *simulation) cancelHalf() {
	for _, j := range sim.allJobs {
		if j.answer == nil && sim.attemptRNG.Float64() < 0.5 {
			sim.lastRequest++
			sim.jobsByRequest[sim.lastRequest] = j
			sim.handle(j.entry, dispatch.Cancel{Request: sim.lastRequest, Job: j.id, Caller: j.team})
		}
	}
}
