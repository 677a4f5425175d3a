package integration

import (
	"context"
	"testing"
	"time"

	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/entry/peers"
	"marigoldfront.dev/wire"
)

// fetchSpeeds requests the learned run times of the instance, as a peer does.
func (e *entry) fetchSpeeds() []*wire.Speed {
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

// Guards against a new instance that does not import the learned run times of
// targets from a peer.
func TestNewInstanceImportsSpeeds(t *testing.T) {
	c := newCluster(t)
	c.startTarget("t1", 4)
	c.acceptTicket()
	e1 := c.startEntry("e1")
	c.waitConverged(e1)
	requireComplete(t, e1.submit(e1.openSession(), 1, newJob(4, 5*time.Millisecond, 5*time.Second)), 4)
	known := e1.fetchSpeeds()
	if len(known) != 1 || known[0].Target != "t1" || known[0].MeanUs <= 0 {
		t.Fatalf("e1 has learned %v", known)
	}
	e2 := c.startEntry("e2")
	eventually(t, propagationLimit, "e2 has the speeds of e1", func() bool {
		got := e2.fetchSpeeds()
		return len(got) == 1 && got[0].Target == "t1" && got[0].MeanUs == known[0].MeanUs
	})
}
