package policyrun

import (
	"math"
	"time"

	"marigoldfront.dev/core/dispatch"
)

// teams are the callers of a run, one caller each. The last one floods where
// the scenario says so.
var teams = []string{"north", "south", "east", "flood"}

const (
	maxTasks = 40
	// longShare of the tasks take 2 to 5 s, the others 50 ms to 1 s.
	longShare = 0.02
)

// meanTask is the mean of drawTask.
var meanTask = time.Duration(float64(time.Second) * ((1-longShare)*0.95/math.Log(20) + longShare*3.5))

// drawTask draws the run time of a task at speed 1.
func (w *world) drawTask() time.Duration {
	if w.draw.Float64() < longShare {
		return time.Duration(float64(time.Second) * (2 + 3*w.draw.Float64()))
	}
	return time.Duration(float64(50*time.Millisecond) * math.Pow(20, w.draw.Float64()))
}

// arrive submits one job of a team and schedules its next one. rate returns
// the load of the team at a time, relative to the capacity.
func (w *world) arrive(team string, rate func(time.Duration) float64) {
	since := w.Now.Sub(w.begin)
	if since > w.sc.Length {
		return
	}
	jobWork := meanTask.Seconds() * (1 + maxTasks) / 2
	if load := rate(since); load > 0 {
		w.submit(team)
		perSecond := load * w.capacity() / jobWork
		w.After(time.Duration(w.draw.ExpFloat64()/perSecond*float64(time.Second)), func() { w.arrive(team, rate) })
		return
	}
	w.After(10*time.Millisecond, func() { w.arrive(team, rate) })
}

func (w *world) submit(team string) {
	e := w.entries[w.draw.IntN(len(w.entries))]
	s := e.sessions[team]
	s.seq++
	s.open[s.seq] = true
	j := &job{
		id: dispatch.JobID{Session: s.id, Seq: s.seq}, entry: e, team: team, arrived: w.Now,
		poison: w.draw.Float64() < w.sc.PoisonShare, tooLarge: w.draw.Float64() < w.sc.TooLargeShare,
	}
	sub := w.submission(j)
	w.nextReq++
	j.request = w.nextReq
	w.jobs[j.id], w.byReq[j.request] = j, j
	w.all = append(w.all, j)
	for !s.open[s.ackedTo+1] && s.ackedTo+1 < s.seq {
		s.ackedTo++
	}
	w.handle(e, dispatch.Submit{
		Request: j.request, Job: j.id, Caller: team, Submission: sub, AcknowledgedBelow: s.ackedTo + 1,
	})
}

func (w *world) submission(j *job) dispatch.Submission {
	sub := dispatch.Submission{Service: service, Repeatable: w.draw.Float64() < 0.9}
	for range 1 + w.draw.IntN(maxTasks) {
		d := w.drawTask()
		j.tasks = append(j.tasks, d)
		j.ideal = max(j.ideal, d)
		sub.Tasks = append(sub.Tasks, dispatch.Task{Payload: []byte("0123456789"), Declared: w.declare(d)})
	}
	j.ideal += 500 * time.Microsecond
	sub.Timeout = 3*time.Second + 5*j.ideal
	if j.tooLarge {
		sub.MemoryMB = memoryMB + 1
	}
	sub.Digest = j.id.Seq + 1
	return sub
}

// declare draws the caller's guess of a run time.
func (w *world) declare(d time.Duration) time.Duration {
	off := math.Exp(0.2 * w.draw.NormFloat64())
	if w.sc.InaccurateDeclared {
		off = math.Pow(10, 2*w.draw.Float64()-1)
	}
	return time.Duration(float64(d) * off)
}

func (w *world) openSessions() {
	for _, e := range w.entries {
		for _, team := range teams {
			w.nextReq++
			e.sessions[team] = &callerSession{open: map[uint64]bool{}}
			w.handle(e, dispatch.OpenSession{Request: w.nextReq, Caller: team})
		}
	}
}

// opened takes a session for the first team that still lacks one; sessions
// are opened one at a time in the order of the teams.
func (w *world) opened(e *entry, a dispatch.ReplySession) {
	for _, team := range teams {
		if s := e.sessions[team]; s != nil && s.id == (dispatch.SessionID{}) {
			s.id = a.Session
			return
		}
	}
}

func (w *world) answered(a dispatch.ReplyAnswer) {
	j := w.byReq[a.Request]
	if j == nil || j.answer != nil {
		return
	}
	j.answer, j.ended = a.Answer, w.Now
	delete(j.entry.sessions[j.team].open, j.id.Seq)
}

// ran notes a run that was done, for goodput.
func (w *world) ran(t *target, r *run) {
	j := w.jobs[r.start.Attempt.Job]
	if j.answer == nil {
		j.runs = append(j.runs, span{from: r.begun, to: w.Now, speed: t.speed})
	}
}

// cancelWave cancels half of the jobs that have no answer.
func (w *world) cancelWave() {
	for _, j := range w.all {
		if j.answer == nil && w.rng.Float64() < 0.5 {
			w.nextReq++
			w.byReq[w.nextReq] = j
			w.handle(j.entry, dispatch.Cancel{Request: w.nextReq, Job: j.id, Caller: j.team})
		}
	}
}
