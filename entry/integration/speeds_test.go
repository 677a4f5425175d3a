package integration

import (
	"context"
	"testing"
	"time"

	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/entry/peers"
	"marigoldfront.dev/wire"
)

// speeds asks the instance for its learned speeds, as a peer does.
func (e *entry) speeds() []*wire.Speed {
	p := peers.New(membership.Identity{Name: "test", Region: region}, "a secret of the tests")
	defer p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := p.Client(e.PeerListen).FetchSpeeds(ctx, &wire.FetchSpeedsRequest{Region: region})
	if err != nil {
		return nil
	}
	return reply.GetSpeeds()
}

// Guards against a started instance that learns every target's speed anew
// although a peer knows them.
func TestStartedInstanceTakesSpeedsOver(t *testing.T) {
	c := newCluster(t)
	c.target("t1", 4)
	c.ticket()
	e1 := c.entry("e1")
	c.converged(e1)
	complete(t, e1.submit(e1.open(), 1, job(4, 5*time.Millisecond, 5*time.Second)), 4)
	known := e1.speeds()
	if len(known) != 1 || known[0].Target != "t1" || known[0].MeanUs <= 0 {
		t.Fatalf("e1 has learned %v", known)
	}
	e2 := c.entry("e2")
	eventually(t, propagation, "e2 has the speeds of e1", func() bool {
		got := e2.speeds()
		return len(got) == 1 && got[0].Target == "t1" && got[0].MeanUs == known[0].MeanUs
	})
}
