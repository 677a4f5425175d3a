package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldfront.dev/core/demand"
	"marigoldfront.dev/core/shedding"
)

const (
	// planInterval is the shortest time between two decisions about the same queued
	// jobs.
	planInterval = 5 * time.Millisecond
	// wastePeriod is the time constant of the average of the room that cannot be used.
	wastePeriod = 100 * time.Millisecond
	// turnsAwayPeriod is how long load reports tell that jobs were turned away.
	turnsAwayPeriod = 300 * time.Millisecond
	// unansweredRoomTime is how long a target that does not answer counts as room. A
	// single lost answer would otherwise refuse all jobs that wait for it.
	unansweredRoomTime = time.Second
	// maxHigherPricedShare bounds the share of the room that work of higher prices is
	// assumed to take when the time is forecast at which there is room.
	maxHigherPricedShare = 0.9
	// maxRetryAfter is the longest time after which a refused job should be submitted
	// again, without its spread.
	maxRetryAfter = 10 * time.Second
)

// PriorityRoom is the room for the jobs of a priority.
type PriorityRoom struct {
	Priority int
	// ForecastWait is the forecast time until a new task starts, the lowest of the
	// services.
	ForecastWait time.Duration
	// TurnsAway is set if all services with jobs of the priority have turned jobs away of
	// late for want of room.
	TurnsAway bool
}

// shed turns away the queued jobs for which there is no room, and puts those last
// that will be late. It is called after place, so that a job that has just arrived can
// still use free capacity.
func (s *Scheduler) shed() {
	if s.now.Before(s.nextPlan) {
		return
	}
	s.nextPlan = s.now.Add(planInterval)
	for _, service := range s.queuedServices() {
		s.shedJobs(service)
	}
}

// queuedServices returns the services of the queued jobs without a start.
func (s *Scheduler) queuedServices() []string {
	var services []string
	for _, j := range s.queue {
		if !j.started && !slices.Contains(services, j.Service) {
			services = append(services, j.Service)
		}
	}
	return services
}

func (s *Scheduler) shedJobs(service string) {
	queued := make([]*job, 0, len(s.queue))
	jobs := make([]shedding.Job, 0, len(s.queue))
	for _, j := range s.queue {
		if j.Service != service {
			continue
		}
		queued = append(queued, j)
		jobs = append(jobs, s.sheddingJob(j))
	}
	plan := shedding.New(jobs, s.room(service))
	for n, i := range plan.Order {
		queued[i].late = n >= plan.InTime
	}
	for _, r := range plan.Refused {
		j := queued[r.Job]
		if r.Preferred >= 0 {
			p := queued[r.Preferred]
			j.summary.Preferred, j.summary.PreferredQueue = p.ID, p.Queue
		}
		s.turnedAwayAt[servicePriority{j.Service, j.Priority}] = s.now
		s.giveUp(j, ReasonOverloaded)
	}
}

func (s *Scheduler) sheddingJob(j *job) shedding.Job {
	work, cpu := s.unplacedWork(j)
	s.demandOf(j.Service).Keep(s.now, j.Queue)
	return shedding.Job{
		Cores: cpu / 1000, RunTime: time.Duration(work / max(cpu, 1)), Price: s.demandOf(j.Service).Price(s.now, j.Queue),
		LatestStart: j.latestStart().Sub(s.now), LatestUseful: s.latestUsefulEnd(j).Add(-j.criticalPath).Sub(s.now),
		Age: s.now.Sub(j.Arrived), Started: j.started,
	}
}

// room returns the room for the jobs of a service, now and later.
func (s *Scheduler) room(service string) shedding.Room {
	var room shedding.Room
	free := 0.0
	for _, t := range s.sortedTargets {
		if t.Service != service || !s.countsAsRoom(t) {
			continue
		}
		room.Cores += float64(t.CPU) / 1000
		tfree := float64(max(t.free.cpu, 0)) / 1000
		if t.usable() {
			free += tfree
		} else if tfree > 0 {
			room.Releases = append(room.Releases, shedding.Release{At: minForecastWait, Cores: tfree})
		}
		for _, r := range t.sortedRuns() {
			room.Releases = append(room.Releases, shedding.Release{
				At: max(r.end().Sub(s.now), minForecastWait), Cores: float64(r.need.cpu) / 1000,
			})
		}
	}
	wasted := s.wastedShareOf(service, free/max(room.Cores, 1))
	room.Free = max(0, free-wasted*room.Cores)
	room.Cores *= 1 - wasted
	d := s.demandOf(service)
	for _, q := range d.Queues() {
		room.Arriving = append(room.Arriving, shedding.Arrival{Price: d.Price(s.now, q), Rate: d.Current(s.now, q)})
	}
	return room
}

// wastedRoom is the average share of the room that stays free because no waiting task
// fits.
type wastedRoom struct {
	share float64
	at    time.Time
}

// wastedShareOf returns the share of the room of a service that stays free while jobs
// wait. free is the share that is free now.
func (s *Scheduler) wastedShareOf(service string, free float64) float64 {
	w := s.wastedShare[service]
	since := s.now.Sub(w.at)
	share := w.share * math.Exp(-since.Seconds()/wastePeriod.Seconds())
	if !s.hasUnrestrictedTask(service) {
		return share
	}
	if since > wastePeriod {
		// Nothing has waited since.
		since = planInterval
	}
	share += free * (1 - math.Exp(-since.Seconds()/wastePeriod.Seconds()))
	s.wastedShare[service] = wastedRoom{share, s.now}
	return share
}

// hasUnrestrictedTask reports whether a waiting task of a service can use any target. The
// others do not show that free room is of no use.
func (s *Scheduler) hasUnrestrictedTask(service string) bool {
	return slices.ContainsFunc(s.queue, func(j *job) bool {
		if j.Service != service {
			return false
		}
		for i, ts := range j.tasks {
			st := &j.Steps[i]
			if st.Label == "" && st.Rack == "" && st.Accelerators == 0 && j.ready(i) && slices.ContainsFunc(ts, (*task).waiting) {
				return true
			}
		}
		return false
	})
}

// countsAsRoom reports whether new jobs can use the target, now or once it answers again.
func (s *Scheduler) countsAsRoom(t *target) bool {
	if t.usable() {
		return true
	}
	if t.removed || t.fenced || t.Draining || t.evacuated() || t.Releasing {
		return false
	}
	since := t.connectionLostAt
	if t.unanswered > 0 {
		since = earliest(since, t.unansweredSince)
	}
	return !since.IsZero() && s.now.Sub(since) < unansweredRoomTime
}

// demandOf returns the demand for a service.
func (s *Scheduler) demandOf(service string) *demand.Demand {
	d := s.demands[service]
	if d == nil {
		d = demand.New()
		s.demands[service] = d
	}
	return d
}

// recordDemand records the work of a job that has arrived.
func (s *Scheduler) recordDemand(j *job) {
	s.demandOf(j.Service).Add(s.now, j.Queue, j.Priority, s.work(j))
}

// rooms returns the room for the priorities in use. The report does not tell services
// apart: a priority has the lowest wait of its services, and turns away only if all of
// them do, so that the shortage of one service does not keep jobs of another from being
// offered. The owner refuses jobs of the first itself.
func (s *Scheduler) rooms() []PriorityRoom {
	var all []PriorityRoom
	for _, service := range slices.Sorted(maps.Keys(s.demands)) {
		d := s.demands[service]
		wait, cores := s.forecastWait(nil, service), s.usableCores(service)
		for priority, price := range d.Priorities(s.now) {
			r := PriorityRoom{
				Priority: priority, ForecastWait: waitBeside(wait, d.CurrentAbove(s.now, price), cores),
				TurnsAway: s.turnsAway(service, priority),
			}
			if i := slices.IndexFunc(all, func(o PriorityRoom) bool { return o.Priority == priority }); i >= 0 {
				all[i].ForecastWait = min(all[i].ForecastWait, r.ForecastWait)
				all[i].TurnsAway = all[i].TurnsAway && r.TurnsAway
				continue
			}
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b PriorityRoom) int { return cmp.Compare(a.Priority, b.Priority) })
	return all
}

// servicePriority is a priority of a service.
type servicePriority struct {
	service  string
	priority int
}

// turnsAway reports whether jobs were turned away of late.
func (s *Scheduler) turnsAway(service string, priority int) bool {
	return s.now.Sub(s.turnedAwayAt[servicePriority{service, priority}]) < turnsAwayPeriod
}

// usableCores returns the cores that accept new jobs of a service.
func (s *Scheduler) usableCores(service string) (cores float64) {
	for _, t := range s.sortedTargets {
		if t.usable() && t.Service == service {
			cores += float64(t.CPU) / 1000
		}
	}
	return cores
}

// waitBeside returns the wait for room of which work of higher prices takes a part, in
// core-seconds per second.
func waitBeside(wait time.Duration, higherPriced, cores float64) time.Duration {
	share := maxHigherPricedShare
	if cores > 0 {
		share = min(higherPriced/cores, maxHigherPricedShare)
	}
	return time.Duration(float64(wait) / (1 - share))
}

// retryAfter returns the time after which there is likely to be room for a refused job.
// It differs from job to job by a factor of up to two, so that callers do not come back
// at once.
func (s *Scheduler) retryAfter(j *job) time.Duration {
	d := s.demandOf(j.Service)
	wait := waitBeside(s.forecastWait(nil, j.Service), d.CurrentAbove(s.now, d.Price(s.now, j.Queue)), s.usableCores(j.Service))
	wait = min(max(minRetryAfter, wait), maxRetryAfter)
	if wait == minRetryAfter && !s.turnsAway(j.Service, j.Priority) {
		return wait
	}
	spread := float64(xxhash.Sum64String(j.ID)>>11) / (1 << 53)
	return time.Duration(float64(wait) * (1 + spread))
}

// cost returns what it costs callers to turn a job away, in seconds of the usual demand
// of its queue, weighted by priority.
func (s *Scheduler) cost(j *job) float64 {
	return s.demandOf(j.Service).Price(s.now, j.Queue) * s.work(j)
}

// work forecasts the work of all tasks of a job, in core-seconds.
func (s *Scheduler) work(j *job) float64 {
	work := 0.0
	for i := range j.Steps {
		st := &j.Steps[i]
		work += float64(st.Count) * float64(st.CPU) / 1000 * s.model.BaseRunTime(j.Queue, st.Estimate).Seconds()
	}
	return work
}
