package ledger

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func ExampleLedger() {
	l := New[string](7)
	l.Begin(1)
	l.Begin(2)
	l.End(start, 1, "completed")
	r := l.Reconcile(start.Add(time.Second), SenderState{
		Number: 1, LastID: 4, Awaited: []uint64{1, 3, 4}, Overdue: []uint64{1, 3},
	})
	fmt.Println("ended:", r.Replies, "missing:", r.Missing, "orphans:", r.Orphans)
	fmt.Println("job 3 may run:", l.Begin(3), "job 4 may run:", l.Begin(4))
	// Output:
	// ended: map[1:completed] missing: [3] orphans: [2]
	// job 3 may run: false job 4 may run: true
}

// Guards against sending a reply twice although its own connection works.
func TestFreshReplyIsNotRepeated(t *testing.T) {
	l := New[string](1)
	l.Begin(1)
	l.End(start, 1, "completed")
	state := SenderState{Number: 1, LastID: 1, Awaited: []uint64{1}}
	if r := l.Reconcile(start.Add(replyGrace/2), state); len(r.Replies) > 0 {
		t.Errorf("returned before the grace time: %v", r.Replies)
	}
	state.Number++
	if r := l.Reconcile(start.Add(replyGrace), state); r.Replies[1] != "completed" {
		t.Errorf("not returned after %v: %v", replyGrace, r.Replies)
	}
}

// Guards against running a job whose message arrives after the sender has sent the
// job to another owner.
func TestLateArrivalIsRefused(t *testing.T) {
	l := New[string](1)
	l.Reconcile(start, SenderState{Number: 2, LastID: 5, Awaited: []uint64{4, 5}, Overdue: []uint64{4}})
	// A report that arrives after a newer one is ignored.
	l.Reconcile(start, SenderState{Number: 1, LastID: 6, Awaited: []uint64{3}})
	for id, want := range map[uint64]bool{3: false, 4: false, 5: true, 6: true} {
		if l.Begin(id) != want {
			t.Errorf("job %d may run: %v", id, !want)
		}
	}
}

// Guards against an owner that drops a reply and then reports that the job never
// arrived.
func TestForgottenReplyChangesTheEpoch(t *testing.T) {
	l := New[string](1)
	l.Begin(1)
	l.End(start, 1, "completed")
	l.Expire(start.Add(replyRetention - 1))
	if l.Epoch() != 1 {
		t.Error("the epoch changes although no reply was dropped")
	}
	l.Expire(start.Add(replyRetention))
	if l.Epoch() == 1 {
		t.Error("the epoch is the same although a reply was dropped")
	}
}

// simJob is a job of the simulated sender.
type simJob struct {
	id     uint64
	epoch  uint64
	sentAt time.Time
	// connectionLost is set if the connection fails, so that the job arrives late
	// and its reply is lost. arrives and ends are the times at which the job
	// arrives and ends at the owner.
	connectionLost bool
	arrives, ends  time.Time
	arrived        bool
	settled        bool
}

// Guards against a job that runs after it was reported as missing, and against
// jobs without a result at the sender. The simulation loses, delays and reorders
// messages, and restarts the owner.
func TestSimulatedFaultsLoseNoAnswer(t *testing.T) {
	for seed := range uint64(200) {
		if msg := simulate(rand.New(rand.NewPCG(seed, 1))); msg != "" {
			t.Fatalf("seed %d: %s", seed, msg)
		}
	}
}

func simulate(r *rand.Rand) string {
	const overdueAfter = 200 * time.Millisecond
	now := start
	l := New[uint64](r.Uint64())
	var jobs []*simJob
	reportedMissing := map[uint64]bool{}
	var epoch, last, number uint64
	for step := range 3000 {
		now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
		if step < 2500 && r.IntN(5) == 0 {
			last++
			jobs = append(jobs, &simJob{
				id: last, epoch: epoch, sentAt: now, connectionLost: r.IntN(4) == 0,
				arrives: now.Add(time.Duration(r.ExpFloat64() * 40 * float64(time.Millisecond))),
				ends:    now.Add(time.Duration(r.IntN(900)) * time.Millisecond),
			})
		}
		for _, j := range jobs {
			if !j.arrived && !now.Before(j.arrives) && (!j.connectionLost || r.IntN(3) == 0) {
				j.arrived = true
				if l.Begin(j.id) && reportedMissing[j.id] {
					return fmt.Sprintf("job %d runs although it was reported as missing", j.id)
				}
			}
			if l.running[j.id] && !now.Before(j.ends) {
				l.End(now, j.id, j.id)
				j.settled = j.settled || !j.connectionLost
			}
		}
		if r.IntN(400) == 0 { // The owner restarts; its connections are reset.
			l = New[uint64](r.Uint64())
			for _, j := range jobs {
				j.arrived, j.settled = true, true
			}
		}
		l.Expire(now)
		if r.IntN(12) > 0 {
			continue
		}
		number++
		state := SenderState{Number: number, LastID: last}
		for _, j := range jobs {
			if !j.settled {
				state.Awaited = append(state.Awaited, j.id)
				if now.Sub(j.sentAt) >= overdueAfter {
					state.Overdue = append(state.Overdue, j.id)
				}
			}
		}
		if r.IntN(5) == 0 {
			continue // The report is lost.
		}
		out := l.Reconcile(now, state)
		for _, id := range out.Orphans {
			delete(l.running, id)
		}
		if r.IntN(5) == 0 {
			continue // The answer to the report is lost.
		}
		epoch = l.Epoch()
		for _, j := range jobs {
			switch _, done := out.Replies[j.id]; {
			case done:
				j.settled = true
			case slices.Contains(out.Missing, j.id):
				j.settled = true
				if j.epoch == epoch {
					if l.running[j.id] {
						return fmt.Sprintf("job %d is missing and runs", j.id)
					}
					if _, ran := l.ended[j.id]; ran {
						return fmt.Sprintf("job %d is missing and ran", j.id)
					}
					reportedMissing[j.id] = true
				}
			}
		}
	}
	for _, j := range jobs {
		if !j.settled {
			return fmt.Sprintf("the sender has no result of job %d: %+v", j.id, j)
		}
	}
	if l.Running() > 0 {
		return fmt.Sprintf("jobs are still running: %v", l.running)
	}
	return ""
}

// BenchmarkReconcileManyJobs measures a report of a sender that awaits 2,000 jobs, as
// callers that wait for tens of seconds leave them.
func BenchmarkReconcileManyJobs(b *testing.B) {
	const jobs = 2000
	l := New[string](1)
	state := SenderState{LastID: jobs}
	for id := range uint64(jobs) {
		l.Begin(id + 1)
		state.Awaited = append(state.Awaited, id+1)
	}
	for b.Loop() {
		state.Number++
		if r := l.Reconcile(start, state); len(r.Orphans) > 0 {
			b.Fatalf("%d of the awaited jobs count as orphans", len(r.Orphans))
		}
	}
}
