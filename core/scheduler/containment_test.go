package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// queueJob returns a job with one task that is submitted through a queue.
func (h *harness) queueJob(queue, id string) Job {
	j := h.longJob(id, 1)
	j.Queue = queue
	return j
}

// crashUnder starts n tasks of the queue, two on a target, and lets the targets with
// tasks close their connections.
func crashUnder(h *harness, queue string, n int) {
	for i := range n {
		h.submit(RequestID(100+i), h.queueJob(queue, fmt.Sprint(queue, i)))
		h.startAll()
		h.send(Cancel{Job: fmt.Sprint(queue, i)})
	}
	for _, t := range h.s.sortedTargets {
		if len(t.runs) > 0 {
			h.s.recordLoss(t)
		}
	}
	take[Stop](h)
	take[Reply](h)
}

func manyTargets(n int) []Target {
	var all []Target
	for i := range n {
		all = append(all, testTarget(fmt.Sprint("t", i)))
	}
	return all
}

// Guards against tasks that are lost beside those of a queue whose tasks crash their
// targets, each at its first start.
func TestTasksOfCrashingQueueRunApart(t *testing.T) {
	targets := manyTargets(16)
	h := newHarness(t, targets...)
	crashUnder(h, "bad", 4)
	placed := map[string]string{}
	for i, queue := range []string{"bad", "good", "bad", "good", "bad", "good"} {
		h.submit(RequestID(i+1), h.queueJob(queue, fmt.Sprint("j", i)))
		st := h.startAll()[0]
		if other := placed[st.Target]; other != "" && other != queue {
			t.Errorf("a task of the queue %s starts beside one of %s", queue, other)
		}
		placed[st.Target] = queue
	}
}

// Guards against a queue whose tasks take one target after the other until none is
// left for the other queues, and against a queue that stays refused.
func TestCrashingQueueKeepsPartOfTheTargets(t *testing.T) {
	targets := manyTargets(6)
	h := newHarness(t, targets...)
	crashUnder(h, "bad", 6)
	h.submit(4, h.queueJob("bad", "only queue"))
	h.startAll()
	h.submit(5, h.queueJob("good", "i"))
	h.startAll()
	h.advance(containmentInterval)
	h.submit(1, h.queueJob("bad", "j"))
	if r, ok := one[Reply](h).Outcome.(Refused); !ok || r.Reason != ReasonOverloaded || r.RetryAfter < minRetryAfter {
		t.Errorf("the outcome of a job of the queue is %#v", r)
	}
	h.submit(2, h.queueJob("good", "k"))
	one[Start](h)
	h.advance(lossWindow + time.Second)
	h.submit(3, h.queueJob("bad", "l"))
	one[Start](h)
}

// Guards against a queue that is held responsible for losses of targets that have
// nothing to do with it, or that were none.
func TestOtherLossesDoNotContainQueue(t *testing.T) {
	targets := manyTargets(6)
	for name, lose := range map[string]func(h *harness){
		"equal parts": func(h *harness) { crashUnder(h, "p", 2); crashUnder(h, "q", 2) },
		"one target":  func(h *harness) { crashUnder(h, "p", 1) },
		"idle targets": func(h *harness) {
			for _, t := range h.s.sortedTargets {
				h.s.recordLoss(t)
			}
		},
		"answered again": func(h *harness) {
			crashUnder(h, "p", 4)
			for _, t := range h.s.sortedTargets {
				t.lossRefuted()
			}
		},
	} {
		h := newHarness(t, targets...)
		lose(h)
		h.send(Tick{})
		if h.s.contained.queue != "" {
			t.Errorf("%s: the queue %s is contained", name, h.s.contained.queue)
		}
	}
}

// Guards against containment that follows from a target which loses its connection
// but goes on.
func TestLossIsRecordedWithTheConnection(t *testing.T) {
	h := newHarness(t, testTarget("a"))
	h.submit(1, h.queueJob("q", "j"))
	st := h.startAll()[0]
	h.now = h.now.Add(lossAfter)
	h.send(PollReturned{Target: "a", ConnectionLost: true})
	if got := h.s.targets["a"].lostQueues; !slices.Equal(got, []string{"q"}) {
		t.Errorf("the queues %q are held responsible, want q", got)
	}
	h.now = h.now.Add(reconnectPause)
	h.send(Tick{})
	h.answerPoll("a", PollReturned{Running: []RunID{st.Run}})
	if n := len(h.s.targets["a"].lostQueues); n != 0 {
		t.Errorf("%d queues are held responsible after the target has answered again", n)
	}
}
