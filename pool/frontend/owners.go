package frontend

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"marigoldfront.dev/core/scheduler"
	"marigoldfront.dev/pool/relay"
)

const (
	// maxLoadAge is the age up to which the load report of an owner counts when
	// owners are compared.
	maxLoadAge = 1500 * time.Millisecond
	// crossZoneCost is added for an owner in another availability zone. It
	// covers two round trips and the uncertainty of the owner's load report.
	crossZoneCost = 10 * time.Millisecond
	// costStep is the unit to which costs are rounded. Smaller differences are
	// not significant, because the load reports are up to that old.
	costStep = 4 * time.Millisecond
	// shortageCost is added for an owner without any free processor for the
	// job. If the owner lacks only a share of the processors, that share of the
	// cost is added. The job waits at such an owner, or the owner declines it.
	shortageCost = 40 * time.Millisecond
	// overdueCost is added for an owner whose reply to a heartbeat is overdue. A
	// job is sent there only if no other owner accepts it.
	overdueCost = 2 * time.Second
	// unresponsivePeriod is the time after an owner's last failure to reply in
	// which it gets no jobs. Heartbeats to it continue, so that a live owner
	// replies before.
	unresponsivePeriod = 2 * time.Second
	// maxFullReportAge is the age up to which a load report shows that an owner
	// cannot start a job at once. Most tasks end within this time, so that an
	// older report may be outdated.
	maxFullReportAge = 100 * time.Millisecond
)

// candidate is an owner of targets of the job's service.
type candidate struct {
	address  string
	sameZone bool
	load     relay.Load
}

// cost returns the estimated delay at the owner for a job whose first tasks
// need the given processors, in thousandths of a core.
func (c candidate) cost(now time.Time, need int64) time.Duration {
	cost := time.Duration(0)
	if !c.sameZone {
		cost += crossZoneCost
	}
	if c.load.Draining {
		cost += time.Second
	}
	if c.load.Overdue {
		cost += overdueCost
	}
	if now.Sub(c.load.ReportedAt) < maxLoadAge {
		cost += c.load.ForecastWait
		if short := need - c.load.FreeCPU; short > 0 {
			cost += time.Duration(float64(shortageCost) * float64(short) / float64(need))
		}
	}
	return cost.Round(costStep)
}

// cannotStartNow reports whether a recent load report of the owner shows that it
// cannot start a job at once whose first tasks need the given processors, in
// thousandths of a core.
func (c candidate) cannotStartNow(now time.Time, need int64) bool {
	return now.Sub(c.load.ReportedAt) < maxFullReportAge && (c.load.Queued > 0 || c.load.FreeCPU < need)
}

// hasRoom reports whether a recent load report of the owner shows that it turns away no
// jobs of a priority and starts them within a time.
func (c candidate) hasRoom(now time.Time, priority int, within time.Duration) bool {
	if now.Sub(c.load.ReportedAt) >= maxLoadAge || c.load.Draining || c.load.Overdue {
		return false
	}
	i := slices.IndexFunc(c.load.Rooms, func(r scheduler.PriorityRoom) bool { return r.Priority == priority })
	return i >= 0 && !c.load.Rooms[i].TurnsAway && c.load.Rooms[i].ForecastWait < within
}

// rankedOwners returns the owners of targets of the job's service, the one with
// the lowest cost first. It leaves out unresponsive owners, because the outcome of
// a job that is sent to an owner behind a network partition is unknown.
func (f *Frontend) rankedOwners(j *scheduler.Job) []candidate {
	now, need := time.Now(), cpuToStart(j)
	var all []candidate
	for s, c := range f.cfg.ShardHolders(j.Service) {
		i := slices.IndexFunc(all, func(o candidate) bool { return o.address == c.Address })
		if i < 0 {
			load := f.load(c.Address)
			if now.Sub(load.UnresponsiveAt) < unresponsivePeriod {
				continue
			}
			i = len(all)
			all = append(all, candidate{address: c.Address, load: load})
		}
		all[i].sameZone = all[i].sameZone || s.Zone == f.cfg.Zone
	}
	// Owners of equal cost are in random order, which spreads the load.
	rand.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.cost(now, need), b.cost(now, need)) })
	return all
}

// cpuToStart returns the processors that the tasks without predecessors need
// together, in thousandths of a core.
func cpuToStart(j *scheduler.Job) int64 {
	need := int64(0)
	for _, s := range j.Steps {
		if len(s.After) == 0 {
			need += int64(s.Count) * s.CPU
		}
	}
	return need
}

func (f *Frontend) load(address string) relay.Load {
	if address == f.cfg.SelfAddress {
		return f.cfg.Load()
	}
	return f.cfg.RelayClient.Load(address)
}
