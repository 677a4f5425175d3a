package handover

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/entry/metrics"
	"marigoldfront.dev/entry/peers"
	"marigoldfront.dev/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// successor is a peer whose first Handover calls return the given failures, one
// each.
type successor struct {
	wire.Peer
	failures  []func() error
	calls     atomic.Int64
	sessions  atomic.Int64
	delivered chan int
}

func (s *successor) Handover(_ context.Context, req *wire.HandoverRequest) (*wire.HandoverReply, error) {
	if n := int(s.calls.Add(1)); n <= len(s.failures) {
		return nil, s.failures[n-1]()
	}
	s.sessions.Add(int64(len(req.GetSessions())))
	return &wire.HandoverReply{}, nil
}

func (s *successor) Deliver(_ context.Context, req *wire.DeliverRequest) (*wire.DeliverReply, error) {
	s.delivered <- len(req.GetAnswers())
	return &wire.DeliverReply{}, nil
}

// Guards against a session with two home instances, which results if its records
// are sent to two successors. Also guards against a shutdown that waits for a
// successor that is itself draining, even if an earlier message to it got no
// reply: a draining peer that holds none of the sessions never accepts them.
func TestRecordsGoToOneSuccessor(t *testing.T) {
	repeat := func(fail func() error, n int) (out []func() error) {
		for range n {
			out = append(out, fail)
		}
		return out
	}
	draining := func() error { return twirp.NewError(twirp.FailedPrecondition, "drains") }
	replyLost := func() error { panic(http.ErrAbortHandler) }
	cases := map[string]struct {
		failures  []func() error
		wantOther bool
	}{
		"accepts":                 {nil, false},
		"drains":                  {[]func() error{draining}, true},
		"reply lost":              {[]func() error{replyLost}, false},
		"reply lost, then drains": {append([]func() error{replyLost}, repeat(draining, 100)...), true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			registry := peers.New(membership.Identity{Name: "e0", Region: "r", AvailabilityZone: "z", Incarnation: 1, Address: "127.0.0.1:1"}, "s")
			counters := metrics.New()
			defer counters.Close()
			defer registry.Close()
			successors := map[string]*successor{}
			for i, name := range []string{"e1", "e2"} {
				s := &successor{failures: tc.failures, delivered: make(chan int, 1)}
				srv := httptest.NewServer(wire.NewPeerServer(s))
				defer srv.Close()
				successors[name] = s
				registry.WithRoster(func(r *membership.Roster) {
					r.MergeMessage(time.Now(), membership.Message{From: membership.Identity{
						Name: name, Region: "r", AvailabilityZone: "z",
						Address: strings.TrimPrefix(srv.URL, "http://"), Incarnation: uint64(i + 2),
					}})
				})
			}
			var chosen membership.Peer
			registry.WithRoster(func(r *membership.Roster) { chosen, _ = r.Successor(time.Now()) })
			other := successors["e1"]
			if chosen.Name == "e1" {
				other = successors["e2"]
			}
			sender := New(Config{Log: zap.NewNop(), Metrics: counters, Peers: registry})
			sender.AddRecords([]dispatch.SessionRecord{{Caller: "c"}, {Caller: "d"}})
			sender.AddAnswers([]dispatch.FinalAnswer{{Answer: answer.Complete{}}})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			done := make(chan struct{})
			go func() {
				defer close(done)
				sender.Run(ctx)
			}()
			if tc.wantOther {
				// The selected peer reports that it is draining only after the first
				// call.
				other.failures = nil
				for successors[chosen.Name].calls.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				registry.WithRoster(func(r *membership.Roster) {
					r.MergeMessage(time.Now(), membership.Message{From: chosen.Identity, Draining: true})
				})
			}
			if _, ok := sender.Successor(ctx); !ok {
				t.Fatal("there is no successor")
			}
			holder, want := successors[chosen.Name], int64(2)
			if tc.wantOther {
				holder = other
			} else if other.calls.Load() != 0 {
				t.Errorf("the other peer got %d calls", other.calls.Load())
			}
			if n := holder.sessions.Load(); n != want {
				t.Errorf("the successor holds %d sessions, want %d", n, want)
			}
			if n := <-holder.delivered; n != 1 {
				t.Errorf("%d answers delivered, want 1", n)
			}
			cancel()
			<-done
		})
	}
}
