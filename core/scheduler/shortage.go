package scheduler

import (
	"slices"
	"time"

	"marigoldfront.dev/core/demand"
	"marigoldfront.dev/core/shedding"
)

const (
	// planInterval is the shortest time between two decisions about the same queued
	// jobs.
	planInterval = 5 * time.Millisecond
	// wasteWeight is the weight of one observation in the average of the room that
	// cannot be used.
	wasteWeight = 0.05
)

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
		s.giveUp(j, ReasonOverloaded)
	}
}

func (s *Scheduler) sheddingJob(j *job) shedding.Job {
	work, cpu := s.unplacedWork(j)
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
		if t.Service != service || !t.usable() {
			continue
		}
		room.Cores += float64(t.CPU) / 1000
		free += float64(max(t.free.cpu, 0)) / 1000
		for _, r := range t.runs {
			room.Releases = append(room.Releases, shedding.Release{
				At: max(r.end().Sub(s.now), minForecastWait), Cores: float64(r.need.cpu) / 1000,
			})
		}
	}
	s.wastedShare += wasteWeight * (free/max(room.Cores, 1) - s.wastedShare)
	room.Free = max(0, free-s.wastedShare*room.Cores)
	room.Cores *= 1 - s.wastedShare
	d := s.demandOf(service)
	for _, q := range d.Queues() {
		room.Arriving = append(room.Arriving, shedding.Arrival{Price: d.Price(s.now, q), Rate: d.Current(s.now, q)})
	}
	return room
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
	work := 0.0
	for i := range j.Steps {
		st := &j.Steps[i]
		work += float64(st.Count) * float64(st.CPU) / 1000 * s.model.BaseRunTime(j.Queue, st.Estimate).Seconds()
	}
	s.demandOf(j.Service).Add(s.now, j.Queue, j.Priority, work)
}
