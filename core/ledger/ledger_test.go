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

// Guards against a reply that is sent by two ways although its own connection
// works.
func TestFreshReplyIsNotRepeated(t *testing.T) {
	l := New[string](1)
	l.Begin(1)
	l.End(start, 1, "completed")
	c := SenderState{Number: 1, LastID: 1, Awaited: []uint64{1}}
	if r := l.Reconcile(start.Add(replyTime/2), c); len(r.Replies) > 0 {
		t.Errorf("repeated at once: %v", r.Replies)
	}
	c.Number++
	if r := l.Reconcile(start.Add(replyTime), c); r.Replies[1] != "completed" {
		t.Errorf("not repeated after %v: %v", replyTime, r.Replies)
	}
}

// Guards against a job that is started when its message arrives after the
// sender has gone on to another owner.
func TestLateArrivalIsRefused(t *testing.T) {
	l := New[string](1)
	l.Reconcile(start, SenderState{Number: 2, LastID: 5, Awaited: []uint64{4, 5}, Overdue: []uint64{4}})
	// A comparison that was overtaken changes nothing.
	l.Reconcile(start, SenderState{Number: 1, LastID: 6, Awaited: []uint64{3}})
	for id, want := range map[uint64]bool{3: false, 4: false, 5: true, 6: true} {
		if l.Begin(id) != want {
			t.Errorf("job %d may run: %v", id, !want)
		}
	}
}

// Guards against an owner that has forgotten an answer and then says that the
// job never arrived.
func TestForgottenReplyChangesTheEpoch(t *testing.T) {
	l := New[string](1)
	l.Begin(1)
	l.End(start, 1, "completed")
	l.Expire(start.Add(keepTime - 1))
	if l.Epoch() != 1 {
		t.Error("the epoch changes although nothing is forgotten")
	}
	l.Expire(start.Add(keepTime))
	if l.Epoch() == 1 {
		t.Error("the epoch is the same although an answer is forgotten")
	}
}

// modelJob is a job of the model's sender.
type modelJob struct {
	id     uint64
	epoch  uint64
	sentAt time.Time
	// lost: the connection is silent, so that neither the job nor its reply
	// passes any more. arrives and ends are when the job arrives and ends at
	// the owner.
	lost          bool
	arrives, ends time.Time
	arrived       bool
	over          bool
}

// Guards against a job that runs after its sender was told that it never
// arrived, and against jobs that the sender never hears of, with lost, late and
// overtaken messages and owners that restart.
func TestModel(t *testing.T) {
	for seed := range uint64(200) {
		if msg := play(rand.New(rand.NewPCG(seed, 1))); msg != "" {
			t.Fatalf("seed %d: %s", seed, msg)
		}
	}
}

func play(r *rand.Rand) string {
	const overdueAfter = 200 * time.Millisecond
	now := start
	l := New[uint64](r.Uint64())
	var jobs []*modelJob
	never := map[uint64]bool{}
	var epoch, last, number uint64
	for step := range 3000 {
		now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
		if step < 2500 && r.IntN(5) == 0 {
			last++
			jobs = append(jobs, &modelJob{
				id: last, epoch: epoch, sentAt: now, lost: r.IntN(4) == 0,
				arrives: now.Add(time.Duration(r.ExpFloat64() * 40 * float64(time.Millisecond))),
				ends:    now.Add(time.Duration(r.IntN(900)) * time.Millisecond),
			})
		}
		for _, j := range jobs {
			if !j.arrived && !now.Before(j.arrives) && (!j.lost || r.IntN(3) == 0) {
				j.arrived = true
				if l.Begin(j.id) && never[j.id] {
					return fmt.Sprintf("job %d runs although it never arrived", j.id)
				}
			}
			if l.running[j.id] && !now.Before(j.ends) {
				l.End(now, j.id, j.id)
				j.over = j.over || !j.lost
			}
		}
		if r.IntN(400) == 0 { // The owner restarts; its connections are reset.
			l = New[uint64](r.Uint64())
			for _, j := range jobs {
				j.arrived, j.over = true, true
			}
		}
		l.Expire(now)
		if r.IntN(12) > 0 {
			continue
		}
		number++
		c := SenderState{Number: number, LastID: last}
		for _, j := range jobs {
			if !j.over {
				c.Awaited = append(c.Awaited, j.id)
				if now.Sub(j.sentAt) >= overdueAfter {
					c.Overdue = append(c.Overdue, j.id)
				}
			}
		}
		if r.IntN(5) == 0 {
			continue // The comparison is lost.
		}
		out := l.Reconcile(now, c)
		for _, id := range out.Orphans {
			delete(l.running, id)
		}
		if r.IntN(5) == 0 {
			continue // Its answer is lost.
		}
		epoch = l.Epoch()
		for _, j := range jobs {
			switch _, done := out.Replies[j.id]; {
			case done:
				j.over = true
			case slices.Contains(out.Missing, j.id):
				j.over = true
				if j.epoch == epoch {
					if l.running[j.id] {
						return fmt.Sprintf("job %d is missing and runs", j.id)
					}
					if _, ran := l.ended[j.id]; ran {
						return fmt.Sprintf("job %d is missing and ran", j.id)
					}
					never[j.id] = true
				}
			}
		}
	}
	for _, j := range jobs {
		if !j.over {
			return fmt.Sprintf("the sender never hears of job %d: %+v", j.id, j)
		}
	}
	if l.Running() > 0 {
		return fmt.Sprintf("jobs run on: %v", l.running)
	}
	return ""
}
