package configuration

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/entry/metrics"
	"marigoldfront.dev/entry/peers"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeLog is an in-memory TicketLog that records the times of calls. Calls fail
// while down is set.
type fakeLog struct {
	tickets []ticket.Ticket
	down    bool
	calls   []time.Time
}

func (l *fakeLog) Load(context.Context, uint64) (*directory.Directory, error) {
	l.calls = append(l.calls, time.Now())
	if l.down {
		return nil, errors.New("down")
	}
	return directory.Empty(), nil
}

func (l *fakeLog) After(_ context.Context, n uint64) ([]ticket.Ticket, error) {
	l.calls = append(l.calls, time.Now())
	if l.down {
		return nil, errors.New("down")
	}
	return l.tickets[n:], nil
}

func (l *fakeLog) Watch(ctx context.Context, _ uint64, _ chan<- ticket.Ticket) error {
	<-ctx.Done()
	return ctx.Err()
}

// add appends a ticket that sets the weight of a team to the log and returns the
// resulting configuration.
func (l *fakeLog) add(t *testing.T, d *directory.Directory, weight int) *directory.Directory {
	team := directory.Team{Name: "a", Weight: weight}
	tk, next, err := ticket.Prepare(d, ticket.Ticket{
		Nonce: "n", Author: "test", Put: directory.State{Teams: map[string]directory.Team{"a": team}},
	})
	if err != nil {
		t.Fatal(err)
	}
	l.tickets = append(l.tickets, tk)
	return next
}

// newManager returns a Manager and the numbers of the configurations that it has
// put in force.
func newManager(t *testing.T, log TicketLog) (*Manager, *[]uint64) {
	counters := metrics.New()
	registry := peers.New(membership.Identity{Name: "e1", Region: "r", AvailabilityZone: "z", Incarnation: 1}, "secret")
	t.Cleanup(func() {
		counters.Close()
		registry.Close()
	})
	var numbers []uint64
	return New(Config{
		Log: zap.NewNop(), Metrics: counters, Tickets: log, Peers: registry, Announce: func(context.Context) {},
		OnChange: func(d *directory.Directory) { numbers = append(numbers, d.Number) },
	}), &numbers
}

// Guards against a return to an older configuration. Repeated, older, corrupted
// and out-of-order tickets and an older snapshot must have no effect.
func TestOlderConfigurationIgnored(t *testing.T) {
	ctx := context.Background()
	log := &fakeLog{}
	one := log.add(t, directory.Empty(), 1)
	two := log.add(t, one, 2)
	log.add(t, two, 3)
	damaged := log.tickets[2]
	damaged.Digest++
	m, numbers := newManager(t, log)
	for _, tk := range []ticket.Ticket{log.tickets[1], log.tickets[0], log.tickets[0], log.tickets[1], damaged, log.tickets[0]} {
		m.apply(ctx, []ticket.Ticket{tk})
	}
	m.activate(ctx, one)
	m.activate(ctx, two)
	if got := *numbers; len(got) != 2 || got[0] != 1 || got[1] != 2 {
		t.Errorf("configurations put in force: %v, want 1 and 2", got)
	}
	if d := m.Directory(); d.Digest != two.Digest {
		t.Errorf("digest %x in force, want %x", d.Digest, two.Digest)
	}
}

// Guards against more than one store call a second, less the jitter of 20%, while
// the store is down.
func TestStoreCallRate(t *testing.T) {
	log := &fakeLog{}
	m, _ := newManager(t, log)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	log.down = true
	m.Run(ctx)
	log.down = false
	if n := len(log.calls); n < 2 || n > 3 {
		t.Errorf("%d calls in 3 s to a store that is down, want 2 or 3", n)
	}
	for i := 1; i < len(log.calls); i++ {
		if d := log.calls[i].Sub(log.calls[i-1]); d < 800*time.Millisecond {
			t.Errorf("calls %d and %d are %v apart", i-1, i, d)
		}
	}
}

// Guards against a gap in the tickets sent to a peer: a peer that misses tickets
// which are no longer cached must get a snapshot, other peers only the tickets.
func TestFetch(t *testing.T) {
	log := &fakeLog{}
	one := log.add(t, directory.Empty(), 1)
	log.add(t, one, 2)
	m, _ := newManager(t, log)
	m.activate(context.Background(), one)
	m.apply(context.Background(), log.tickets[1:2])
	if r := m.Fetch(1); len(r.GetTickets()) != 1 || r.GetSnapshot() != nil {
		t.Errorf("reply to a peer at 1: %v", r)
	}
	if r := m.Fetch(0); len(r.GetTickets()) != 0 || r.GetSnapshotNumber() != 2 {
		t.Errorf("reply to a peer at 0: %v", r)
	}
	if r := m.Fetch(2); len(r.GetTickets()) != 0 || r.GetSnapshot() != nil {
		t.Errorf("reply to a peer at 2: %v", r)
	}
}
