package relay

import (
	"context"
	"slices"
	"testing"
	"time"

	"marigoldfront.dev/wire"
)

// Guards against a sender that shuts down and recalls the jobs of other senders, or
// none, and against a recall before the shutdown.
func TestRecallNamesTheJobsOfTheSender(t *testing.T) {
	o := newTestOwner(t)
	recalled := make(chan string, 16)
	o.server.cfg.Recall = func(job string) { recalled <- job }
	for id, job := range []string{"first", "second"} {
		in := o.request(uint64(id+1), o.now())
		in.Job = job
		o.run(t, in)
	}
	other := o.request(1, o.now())
	other.Sender, other.Job = "b", "other"
	o.run(t, other)
	beat := &wire.BeatRequest{Sender: "a", Incarnation: 1, Number: 1, Last: 2, Jobs: []uint64{1, 2}}
	if _, err := o.server.Beat(context.Background(), beat); err != nil {
		t.Fatal(err)
	}
	if len(recalled) > 0 {
		t.Errorf("%s is recalled by a heartbeat that recalls nothing", <-recalled)
	}
	beat.Number, beat.Recall = 2, true
	if _, err := o.server.Beat(context.Background(), beat); err != nil {
		t.Fatal(err)
	}
	got := []string{<-recalled, <-recalled}
	slices.Sort(got)
	if !slices.Equal(got, []string{"first", "second"}) || len(recalled) > 0 {
		t.Errorf("%v and %d more are recalled", got, len(recalled))
	}
}

// Guards against a shutdown whose recall is not sent to the owners.
func TestRecallIsSentWithHeartbeats(t *testing.T) {
	o := newTestOwner(t)
	recalled := make(chan string, 16)
	o.server.cfg.Recall = func(job string) { recalled <- job }
	r := newTestClient(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.Run(ctx, o.address, testJob())
	o.awaitJob(t)
	r.Recall()
	select {
	case job := <-recalled:
		if job != testJob().ID {
			t.Errorf("%s is recalled", job)
		}
	case <-time.After(3 * heartbeatEvery):
		t.Error("the job is not recalled with three heartbeats")
	}
}
