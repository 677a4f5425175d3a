package shedding

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// busy returns room of which all cores are in use and become free one after the other
// within a period.
func busy(cores int, period time.Duration) Room {
	r := Room{Cores: float64(cores)}
	for i := range cores {
		r.Releases = append(r.Releases, Release{At: period * time.Duration(i+1) / time.Duration(cores), Cores: 1})
	}
	return r
}

func refusedJobs(p Plan) map[int]Refusal {
	out := map[int]Refusal{}
	for _, r := range p.Refused {
		out[r.Job] = r
	}
	return out
}

// Guards against refusals while there is room for all jobs, also if those that cost
// less to turn away are more urgent.
func TestNothingIsRefusedWhileAllCanBeInTime(t *testing.T) {
	jobs := []Job{
		{Cores: 4, RunTime: 500 * ms, Price: 9, LatestStart: 900 * ms, LatestUseful: 2 * time.Second},
		{Cores: 4, RunTime: 50 * ms, Price: 1, LatestStart: 20 * ms, LatestUseful: 200 * ms},
	}
	p := New(jobs, busy(8, 40*ms))
	if fmt.Sprint(p.Order, p.InTime, p.Refused) != "[1 0] 2 []" {
		t.Errorf("order %v, %d in time, refused %v; want the urgent job first and both in time", p.Order, p.InTime, p.Refused)
	}
}

// Guards against a queued job that keeps its place although a job that costs callers
// more needs the room, and against a refusal that does not name that job.
func TestCheaperJobGivesWay(t *testing.T) {
	jobs := []Job{
		{Cores: 8, RunTime: 400 * ms, Price: 1, LatestStart: 50 * ms, LatestUseful: 100 * ms, Age: 30 * ms},
		{Cores: 8, RunTime: 100 * ms, Price: 3, LatestStart: 60 * ms, LatestUseful: 300 * ms},
	}
	p := New(jobs, busy(8, 40*ms))
	r, ok := refusedJobs(p)[0]
	if !ok || r.Reason != GaveWay || r.Preferred != 1 || len(p.Order) != 1 {
		t.Errorf("%+v; want job 0 to give way to job 1", p)
	}
}

// Guards against the reverse: a job that has waited gives way to one that costs less.
func TestJobOfAHigherPriceKeepsItsPlace(t *testing.T) {
	jobs := []Job{
		{Cores: 8, RunTime: 400 * ms, Price: 3, LatestStart: 50 * ms, LatestUseful: 100 * ms, Age: 30 * ms},
		{Cores: 8, RunTime: 100 * ms, Price: 1, LatestStart: 60 * ms, LatestUseful: 70 * ms},
	}
	p := New(jobs, busy(8, 40*ms))
	r, ok := refusedJobs(p)[1]
	if !ok || r.Preferred != 0 || len(p.Order) != 1 || p.Order[0] != 0 {
		t.Errorf("%+v; want job 1 to be refused because of job 0", p)
	}
}

// Guards against a job that is turned away although its tasks may have run.
func TestStartedJobIsNeverRefused(t *testing.T) {
	jobs := []Job{
		{Cores: 8, RunTime: time.Second, Price: 0.1, LatestStart: -50 * ms, LatestUseful: -10 * ms, Started: true},
		{Cores: 8, RunTime: 50 * ms, Price: 100, LatestStart: 60 * ms, LatestUseful: 100 * ms},
	}
	if _, refused := refusedJobs(New(jobs, busy(8, 40*ms)))[0]; refused {
		t.Error("a job that has started was refused")
	}
}

// Guards against jobs that wait until their answer is worthless although it is known
// that work that costs more takes all room.
func TestHopelessJobIsRefusedAtOnce(t *testing.T) {
	room := busy(100, 200*ms)
	room.Arriving = []Arrival{{Price: 5, Rate: 120}}
	j := Job{Cores: 8, RunTime: 200 * ms, Price: 1, LatestStart: 150 * ms, LatestUseful: 700 * ms}
	if p := New([]Job{j}, room); len(p.Refused) != 1 || p.Refused[0].Reason != NoRoom {
		t.Errorf("%+v; want the job to be refused for want of room", p)
	}
	room.Arriving[0].Rate = 10
	if p := New([]Job{j}, room); len(p.Order) != 1 {
		t.Errorf("%+v; want the job to be served while little work of a higher price arrives", p)
	}
}

// Guards against a caller whose job is turned away each time it comes back.
func TestRefusedJobComesBeforeOthersOfItsPrice(t *testing.T) {
	again := Job{Cores: 8, RunTime: 100 * ms, Price: 1, LatestStart: 45 * ms, LatestUseful: 90 * ms, Refusals: 2}
	first := again
	first.Refusals, first.LatestStart = 0, 44*ms
	p := New([]Job{first, again}, busy(8, 40*ms))
	if r := refusedJobs(p); len(r) != 1 || r[0].Reason != GaveWay {
		t.Errorf("%+v; want only the job that was not turned away before to be refused", p)
	}
}

// Guards against a decision that does not end, or that loses a job, for any queue and
// any room, for example none at all.
func TestEachJobIsOrderedOrRefused(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 1))
		room := busy(rng.IntN(40), time.Duration(1+rng.IntN(500))*ms)
		room.Free = float64(rng.IntN(10))
		jobs := make([]Job, rng.IntN(60))
		for i := range jobs {
			start := time.Duration(rng.IntN(800)-200) * ms
			jobs[i] = Job{
				Cores: float64(rng.IntN(20)), RunTime: time.Duration(rng.IntN(900)) * ms, Price: math.Exp(rng.NormFloat64()),
				LatestStart: start, LatestUseful: start + time.Duration(rng.IntN(900))*ms, Started: rng.IntN(5) == 0,
			}
		}
		p := New(jobs, room)
		seen := map[int]bool{}
		for _, i := range p.Order {
			seen[i] = true
		}
		for i := range refusedJobs(p) {
			seen[i] = true
		}
		if len(seen) != len(jobs) || len(p.Order)+len(p.Refused) != len(jobs) {
			t.Fatalf("seed %d: %d ordered and %d refused of %d jobs", seed, len(p.Order), len(p.Refused), len(jobs))
		}
	}
}

// Guards against a started job that needs more than all room and leaves that room to
// the jobs after it, as if it was free now.
func TestStartedJobTakesTheRoomThereIs(t *testing.T) {
	jobs := []Job{
		{Cores: 16, RunTime: time.Second, Price: 1, LatestStart: 50 * ms, LatestUseful: 90 * ms, Started: true},
		{Cores: 8, RunTime: 50 * ms, Price: 1, LatestStart: 100 * ms, LatestUseful: 200 * ms},
	}
	room := Room{Cores: 8, Releases: []Release{{At: time.Second, Cores: 8}}}
	if p := New(jobs, room); fmt.Sprint(p.Order, p.InTime, len(p.Refused)) != "[0] 1 1" {
		t.Errorf("%+v; want job 1 to be refused, as all room is busy until its answer is of no use", p)
	}
}

// Guards against a job that is refused at once because its tasks do not all run at the
// same time, although there is time for one after the other.
func TestJobLargerThanAllRoomRunsInWaves(t *testing.T) {
	room := Room{Cores: 64, Releases: []Release{{At: 20 * ms, Cores: 64}}}
	j := Job{Cores: 65, RunTime: time.Second, Price: 1, LatestStart: time.Minute, LatestUseful: 2 * time.Minute}
	if p := New([]Job{j}, room); p.InTime != 1 {
		t.Errorf("%+v; want a job of 65 tasks to be in time on 64 cores", p)
	}
	j.Cores, j.LatestStart, j.LatestUseful = 640, 8*time.Second, 9*time.Second
	if p := New([]Job{j}, room); len(p.Refused) != 1 {
		t.Errorf("%+v; want a job to be refused whose last task starts too late", p)
	}
	if p := New([]Job{j}, Room{}); len(p.Refused) != 1 {
		t.Errorf("%+v; want a job to be refused if there is no room at all", p)
	}
}

// Guards against jobs that give way to one that is refused itself, because it cannot
// start in time in all the room there is.
func TestNothingGivesWayToAJobThatCannotBeInTime(t *testing.T) {
	room := Room{
		Cores: 6, Releases: []Release{{At: 20 * ms, Cores: 8}},
		Arriving: []Arrival{{Price: 1, Rate: 6}},
	}
	cheap := Job{Cores: 8, RunTime: 2 * time.Second, Price: 1, LatestStart: 50010 * ms, LatestUseful: 55 * time.Second}
	other := cheap
	other.LatestStart = 51 * time.Second
	dear := Job{Cores: 17, RunTime: 53340 * ms, Price: 9, LatestStart: time.Minute, LatestUseful: 60010 * ms}
	if p := New([]Job{cheap, other, dear}, room); fmt.Sprint(p.Order, p.InTime, len(p.Refused)) != "[0 1] 2 1" {
		t.Errorf("%+v; want only job 2 to be refused", p)
	}
}

// Guards against a job that gave way to one that gives way in turn, and is refused
// although what is left can be served in time with it.
func TestVictimOfARefusedJobIsReconsidered(t *testing.T) {
	jobs := []Job{
		{Cores: 8, RunTime: 100 * ms, Price: 1, LatestStart: 10 * ms, LatestUseful: 20 * ms},
		{Cores: 8, RunTime: time.Second, Price: 5, LatestStart: 50 * ms, LatestUseful: 60 * ms},
		{Cores: 8, RunTime: 100 * ms, Price: 9, LatestStart: 300 * ms, LatestUseful: 400 * ms},
	}
	p := New(jobs, Room{Cores: 8, Free: 8})
	if r, ok := refusedJobs(p)[1]; !ok || r.Preferred != 2 || fmt.Sprint(p.Order, p.InTime) != "[0 2] 2" {
		t.Errorf("%+v; want only job 1 to be refused, because of job 2", p)
	}
}

// Guards against decisions that depend on the order of the input, in which sums are
// rounded differently.
func TestOrderOfInputDoesNotMatter(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	long := longQueue(60)
	for i := range long {
		long[i].Cores /= 10
	}
	many := Room{Cores: 20, Arriving: []Arrival{{Price: 2, Rate: 0.7}, {Price: 3, Rate: 0.1}, {Price: 3, Rate: 0.2}}}
	for i := range 200 {
		many.Releases = append(many.Releases, Release{At: time.Duration(i/20) * 20 * ms, Cores: float64(1+i%7) / 10})
	}
	for name, c := range map[string]struct {
		jobs []Job
		room Room
	}{
		"releases": {
			[]Job{{Cores: 1, RunTime: 50 * ms, Price: 1, LatestStart: 100 * ms, LatestUseful: 100 * ms}},
			Room{Cores: 1, Releases: []Release{{At: 10 * ms, Cores: 0.7}, {At: 10 * ms, Cores: 0.1}, {At: 10 * ms, Cores: 0.2}}},
		},
		"arriving": {
			[]Job{{Cores: 1, RunTime: 50 * ms, Price: 1, LatestStart: 500*ms - 1, LatestUseful: 500*ms - 1}},
			Room{
				Cores: 1.25, Releases: []Release{{At: 100 * ms, Cores: 1}},
				Arriving: []Arrival{{Price: 5, Rate: 0.1}, {Price: 5, Rate: 0.2}, {Price: 5, Rate: 0.7}},
			},
		},
		"many": {long, many},
	} {
		first := fmt.Sprint(New(c.jobs, c.room))
		for range 100 {
			rng.Shuffle(len(c.room.Releases), func(a, b int) {
				c.room.Releases[a], c.room.Releases[b] = c.room.Releases[b], c.room.Releases[a]
			})
			rng.Shuffle(len(c.room.Arriving), func(a, b int) {
				c.room.Arriving[a], c.room.Arriving[b] = c.room.Arriving[b], c.room.Arriving[a]
			})
			if p := fmt.Sprint(New(c.jobs, c.room)); p != first {
				t.Errorf("%s: %s and, in another order, %s", name, first, p)
				break
			}
		}
	}
}

// Guards against a long queue in which the bound of the decision's time makes dear jobs
// give way to cheap ones that would have to give way to them.
func TestDearJobsComeFirstInALongQueue(t *testing.T) {
	for _, n := range []int{50, 150, 500, 1500} {
		var jobs []Job
		for i := range n {
			at := time.Duration(i) * 10 * ms
			jobs = append(jobs,
				Job{Cores: 8, RunTime: 10 * ms, Price: 1, LatestStart: at, LatestUseful: at + ms},
				Job{Cores: 8, RunTime: 10 * ms, Price: 5, LatestStart: at + ms, LatestUseful: at + 2*ms})
		}
		begin := time.Now()
		dear, cheap := 0, 0
		for _, r := range New(jobs, Room{Cores: 8, Free: 8}).Refused {
			if jobs[r.Job].Price > 1 {
				dear++
			} else {
				cheap++
			}
		}
		if took := time.Since(begin); took > time.Second {
			t.Errorf("a decision about %d jobs took %v", len(jobs), took)
		}
		if dear > 0 {
			t.Errorf("of %d dear and %d cheap jobs, %d and %d were refused; want no dear one", n, n, dear, cheap)
		}
	}
}

// Guards against jobs without work that give way although they free no room.
func TestJobWithoutWorkDoesNotGiveWay(t *testing.T) {
	jobs := []Job{
		{Cores: 0, RunTime: 100 * ms, Price: 1, LatestStart: 5 * ms, LatestUseful: 10 * ms},
		{Cores: 8, RunTime: 0, Price: 1, LatestStart: 6 * ms, LatestUseful: 10 * ms},
		{Cores: 8, RunTime: 100 * ms, Price: 2, LatestStart: 10 * ms, LatestUseful: 20 * ms},
		{Cores: 8, RunTime: 100 * ms, Price: 3, LatestStart: 20 * ms, LatestUseful: 30 * ms},
	}
	if p := New(jobs, Room{Cores: 8, Free: 8}); fmt.Sprint(p.Order, p.InTime) != "[0 1 3] 3" {
		t.Errorf("%+v; want only job 2 to give way to job 3", p)
	}
}

// Guards against a job that gives way although one of a higher price that also gave way, to the
// same job, frees enough room without it.
func TestUnnecessaryVictimStays(t *testing.T) {
	jobs := []Job{
		{Cores: 2, RunTime: 100 * ms, Price: 1, LatestStart: 5 * ms, LatestUseful: 10 * ms},
		{Cores: 6, RunTime: 200 * ms, Price: 2, LatestStart: 10 * ms, LatestUseful: 20 * ms},
		{Cores: 6, RunTime: 100 * ms, Price: 3, LatestStart: 90 * ms, LatestUseful: 100 * ms},
	}
	if p := New(jobs, Room{Cores: 8, Free: 8}); fmt.Sprint(p.Order, p.InTime) != "[0 2] 2" {
		t.Errorf("%+v; want only job 1 to give way to job 2", p)
	}
}
