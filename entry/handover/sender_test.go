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

// successor is a peer whose first hand-overs fail in the given ways, one each.
type successor struct {
	wire.Peer
	fails     []func() error
	calls     atomic.Int64
	sessions  atomic.Int64
	delivered chan int
}

func (s *successor) Handover(_ context.Context, req *wire.HandoverRequest) (*wire.HandoverReply, error) {
	if n := int(s.calls.Add(1)); n <= len(s.fails) {
		return nil, s.fails[n-1]()
	}
	s.sessions.Add(int64(len(req.GetSessions())))
	return &wire.HandoverReply{}, nil
}

func (s *successor) Deliver(_ context.Context, req *wire.DeliverRequest) (*wire.DeliverReply, error) {
	s.delivered <- len(req.GetAnswers())
	return &wire.DeliverReply{}, nil
}

// Guards against a session that gets two homes because its records went to
// two successors, and against a stop that waits for a successor that stops
// itself: also where an earlier message got no reply, because a successor that
// drains and holds none of the sessions never takes them.
func TestOneSuccessor(t *testing.T) {
	repeat := func(fail func() error, n int) (out []func() error) {
		for range n {
			out = append(out, fail)
		}
		return out
	}
	drains := func() error { return twirp.NewError(twirp.FailedPrecondition, "drains") }
	lost := func() error { panic(http.ErrAbortHandler) }
	cases := map[string]struct {
		fails   []func() error
		another bool
	}{
		"accepts":                 {nil, false},
		"drains":                  {[]func() error{drains}, true},
		"reply lost":              {[]func() error{lost}, false},
		"reply lost, then drains": {append([]func() error{lost}, repeat(drains, 100)...), true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := peers.New(membership.Identity{Name: "e0", Region: "r", AvailabilityZone: "z", Incarnation: 1, Address: "127.0.0.1:1"}, "s")
			m := metrics.New()
			defer m.Close()
			defer p.Close()
			all := map[string]*successor{}
			for i, name := range []string{"e1", "e2"} {
				s := &successor{fails: tc.fails, delivered: make(chan int, 1)}
				srv := httptest.NewServer(wire.NewPeerServer(s))
				defer srv.Close()
				all[name] = s
				p.WithRoster(func(r *membership.Roster) {
					r.MergeMessage(time.Now(), membership.Message{From: membership.Identity{
						Name: name, Region: "r", AvailabilityZone: "z",
						Address: strings.TrimPrefix(srv.URL, "http://"), Incarnation: uint64(i + 2),
					}})
				})
			}
			var chosen membership.Peer
			p.WithRoster(func(r *membership.Roster) { chosen, _ = r.Successor(time.Now()) })
			other := all["e1"]
			if chosen.Name == "e1" {
				other = all["e2"]
			}
			mover := New(Config{Log: zap.NewNop(), Metrics: m, Peers: p})
			mover.AddRecords([]dispatch.SessionRecord{{Caller: "c"}, {Caller: "d"}})
			mover.AddAnswers([]dispatch.FinalAnswer{{Answer: answer.Complete{}}})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			done := make(chan struct{})
			go func() {
				defer close(done)
				mover.Run(ctx)
			}()
			if tc.another {
				// The first one's own message says later that it drains.
				other.fails = nil
				for all[chosen.Name].calls.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				p.WithRoster(func(r *membership.Roster) {
					r.MergeMessage(time.Now(), membership.Message{From: chosen.Identity, Draining: true})
				})
			}
			if _, ok := mover.Successor(ctx); !ok {
				t.Fatal("there is no successor")
			}
			first, want := all[chosen.Name], int64(2)
			if tc.another {
				first = other
			} else if other.calls.Load() != 0 {
				t.Errorf("the other peer got %d calls", other.calls.Load())
			}
			if n := first.sessions.Load(); n != want {
				t.Errorf("the successor holds %d sessions, want %d", n, want)
			}
			if n := <-first.delivered; n != 1 {
				t.Errorf("%d answers delivered, want 1", n)
			}
			cancel()
			<-done
		})
	}
}
