package routing

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/core/token"
	"marigoldfront.dev/entry/convert"
	"marigoldfront.dev/entry/home"
	"marigoldfront.dev/entry/metrics"
	"marigoldfront.dev/entry/peers"
	"marigoldfront.dev/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakePeer sends the same reply to every forwarded request. Without a reply it
// aborts the connection.
type fakePeer struct {
	wire.Peer
	reply   *wire.ForwardReply
	calls   atomic.Int64
	address string
	// mismatched makes replies carry the ID of another request.
	mismatched bool
}

func (p *fakePeer) Forward(_ context.Context, req *wire.ForwardRequest) (*wire.ForwardReply, error) {
	p.calls.Add(1)
	if p.reply == nil {
		panic(http.ErrAbortHandler)
	}
	reply := proto.Clone(p.reply).(*wire.ForwardReply)
	if !p.mismatched {
		reply.RequestId = req.GetRequestId()
	}
	return reply, nil
}

func newFakePeer(t *testing.T, reply *wire.ForwardReply) *fakePeer {
	p := &fakePeer{reply: reply}
	srv := httptest.NewServer(wire.NewPeerServer(p))
	t.Cleanup(srv.Close)
	p.address = strings.TrimPrefix(srv.URL, "http://")
	return p
}

func completeReply() *wire.ForwardReply {
	return &wire.ForwardReply{Answer: convert.ToAnswer(answer.Complete{})}
}

// Guards against a request that is forwarded to more than one successor,
// against an answer other than "unknown" after a lost reply, and against an
// unreachable session if only a peer, and not this instance, has a record
// of the handover.
func TestForward(t *testing.T) {
	third := newFakePeer(t, completeReply())
	second := newFakePeer(t, &wire.ForwardReply{MovedTo: third.address})
	done := newFakePeer(t, completeReply())
	notRun := answer.NotRun{Reason: answer.Reason{Code: answer.CodeOverloaded}}
	replaced := convert.UnknownAnswer(answer.CodeHomeReplaced, "")
	cases := map[string]struct {
		home  *wire.ForwardReply
		peer  *wire.ForwardReply
		state wire.State
		calls int64
	}{
		"home answers":        {completeReply(), nil, wire.State_STATE_COMPLETE, 0},
		"home did not run it": {&wire.ForwardReply{Answer: convert.ToAnswer(notRun)}, nil, wire.State_STATE_NOT_RUN, 0},
		"handed over once":    {&wire.ForwardReply{MovedTo: done.address}, nil, wire.State_STATE_COMPLETE, 0},
		"handed over twice":   {&wire.ForwardReply{MovedTo: second.address}, &wire.ForwardReply{Answer: replaced}, wire.State_STATE_UNKNOWN, 1},
		"reply lost":          {nil, &wire.ForwardReply{Answer: replaced}, wire.State_STATE_UNKNOWN, 1},
		"peer knows handover": {&wire.ForwardReply{Answer: replaced}, &wire.ForwardReply{MovedTo: done.address}, wire.State_STATE_COMPLETE, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			homePeer, other := newFakePeer(t, tc.home), newFakePeer(t, tc.peer)
			r, signer := newRouter(t, other)
			text, err := signer.Sign(token.Token{Address: netip.MustParseAddrPort(homePeer.address), Incarnation: 9, Number: 1, Caller: "c"})
			if err != nil {
				t.Fatal(err)
			}
			reply := r.Serve(context.Background(), &wire.ForwardRequest{Operation: wire.Operation_OPERATION_SUBMIT, Session: text})
			if got := reply.GetAnswer().GetState(); got != tc.state || other.calls.Load() != tc.calls {
				t.Errorf("%v with %d requests to the peer, want %v with %d", reply, other.calls.Load(), tc.state, tc.calls)
			}
		})
	}
	if n := third.calls.Load(); n != 0 {
		t.Errorf("the second successor got %d requests", n)
	}
}

// Guards against a forwarded job that runs longer than its caller's timeout,
// because the time spent before the forward is not subtracted.
func TestForwardShortensTimeout(t *testing.T) {
	req := &wire.ForwardRequest{Submission: &wire.Submission{TimeoutMs: 5000}}
	setRemainingTimeout(req, time.Now().Add(2*time.Second))
	if ms := req.GetSubmission().GetTimeoutMs(); ms > 2000 || ms < 1000 {
		t.Errorf("%d ms left of 2 s", ms)
	}
	setRemainingTimeout(req, time.Now().Add(-time.Second))
	if ms := req.GetSubmission().GetTimeoutMs(); ms != 1 {
		t.Errorf("%d ms left of a timeout that has passed, want 1", ms)
	}
	setRemainingTimeout(&wire.ForwardRequest{}, time.Now())
}

// Guards against a reply to another forwarded request that becomes the answer
// (guarantee P3).
func TestMismatchedReplyIsUnknown(t *testing.T) {
	homePeer := newFakePeer(t, completeReply())
	homePeer.mismatched = true
	r, signer := newRouter(t, newFakePeer(t, nil))
	text, err := signer.Sign(token.Token{Address: netip.MustParseAddrPort(homePeer.address), Incarnation: 9, Number: 1, Caller: "c"})
	if err != nil {
		t.Fatal(err)
	}
	reply := r.Serve(context.Background(), &wire.ForwardRequest{Operation: wire.Operation_OPERATION_COLLECT, Session: text})
	if got := reply.GetAnswer().GetState(); got != wire.State_STATE_UNKNOWN {
		t.Errorf("the reply to another request gave %v, want unknown", got)
	}
}

func newRouter(t *testing.T, other *fakePeer) (*Router, *token.Signer) {
	p := peers.New(membership.Identity{Name: "e0", Region: "r", AvailabilityZone: "z", Incarnation: 1, Address: "127.0.0.1:1"}, "s")
	p.WithRoster(func(r *membership.Roster) {
		r.MergeMessage(time.Now(), membership.Message{From: membership.Identity{
			Name: "e1", Region: "r", AvailabilityZone: "z", Address: other.address, Incarnation: 2,
		}})
	})
	m := metrics.New()
	t.Cleanup(func() {
		p.Close()
		m.Close()
	})
	signer, err := token.New("s", "")
	if err != nil {
		t.Fatal(err)
	}
	return New(Config{
		Log: zap.NewNop(), Metrics: m, Home: home.New(home.Config{}), Signer: signer, Peers: p,
		Draining: func() bool { return false },
	}), signer
}
