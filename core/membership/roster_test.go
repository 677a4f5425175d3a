package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

func identity(i int, zone string) Identity {
	return Identity{
		Name: fmt.Sprintf("e%d", i), Region: "r", AvailabilityZone: zone,
		Address: fmt.Sprintf("127.0.0.1:%d", i), Incarnation: uint64(100 + i),
	}
}

func listed(i int, zone string) ListedInstance {
	id := identity(i, zone)
	return ListedInstance{Name: id.Name, Region: id.Region, AvailabilityZone: zone, Address: id.Address}
}

// Guards against removing an instance that still responds because the instance
// list is empty or lags behind.
func TestInstanceListAloneRemovesNoPeer(t *testing.T) {
	r := New(identity(1, "a"))
	r.MergeList(start, []ListedInstance{listed(1, "a"), listed(2, "a"), listed(3, "a")})
	r.MergeMessage(start, Message{From: identity(2, "a")})
	r.MergeList(start.Add(time.Second), nil)
	r.MergeList(start.Add(time.Second), []ListedInstance{listed(1, "a")})
	if got := r.ZoneInstances(); !slices.Equal(got, []string{"e1", "e2", "e3"}) {
		t.Fatalf("zone instances after a short list: %v", got)
	}
	now := start.Add(2 * time.Second)
	r.RecordFailure(now, "e3", true)
	if got := r.ZoneInstances(); !slices.Equal(got, []string{"e1", "e2"}) {
		t.Fatalf("zone instances after a refused connection: %v", got)
	}
	r.MergeMessage(start.Add(58*time.Second), Message{From: identity(2, "a")})
	r.MergeList(start.Add(100*time.Second), []ListedInstance{listed(1, "a")})
	if got := r.Peers(); len(got) != 1 || got[0].Name != "e2" {
		t.Fatalf("peers are %v, want only e2: e3 failed and must be removed", got)
	}
}

// Guards against treating a restarted instance as draining because its previous
// incarnation was, and against a late message that restores the previous
// incarnation.
func TestRestartReplacesIncarnation(t *testing.T) {
	r := New(identity(1, "a"))
	r.MergeList(start, []ListedInstance{listed(2, "a")})
	before, restarted := identity(2, "a"), identity(2, "a")
	restarted.Incarnation = 900
	r.MergeMessage(start, Message{From: before, Draining: true})
	if p, _ := r.Peer("e2"); p.State != Draining {
		t.Fatalf("state %v, want draining", p.State)
	}
	r.MergeMessage(start, Message{From: restarted})
	if r.MergeMessage(start, Message{From: before, Draining: true}) {
		t.Fatal("late message of the previous incarnation was merged")
	}
	if p, _ := r.Peer("e2"); p.State != Live || p.Incarnation != 900 {
		t.Fatalf("restarted peer is %+v", p)
	}
}

// Guards against losing a session that was handed over twice, and against
// handovers that never expire because peers repeat them.
func TestHandoverChain(t *testing.T) {
	r := New(identity(9, "a"))
	a, b, c := identity(1, "a"), identity(2, "a"), identity(3, "a")
	r.AddHandover(start, Handover{Incarnation: a.Incarnation, Successor: b.Address})
	r.MergeMessage(start, Message{From: b})
	r.AddHandover(start.Add(time.Second), Handover{Incarnation: b.Incarnation, Successor: c.Address})
	if got, _ := r.FindSessionHolder(start.Add(time.Second), a.Incarnation); got != c.Address {
		t.Fatalf("holder after two handovers is %q, want %q", got, c.Address)
	}
	day := start.Add(24*time.Hour - time.Minute)
	r.AddHandover(day, Handover{Incarnation: a.Incarnation, Successor: b.Address, Age: time.Second})
	if _, ok := r.FindSessionHolder(day.Add(time.Hour), a.Incarnation); ok {
		t.Fatal("a repeated message extended the retention")
	}
	for i := range 2 * maxHandovers {
		r.AddHandover(day, Handover{Incarnation: uint64(1000 + i), Successor: "x"})
	}
	if n := len(r.handovers.entries); n > maxHandovers {
		t.Fatalf("%d handovers are kept", n)
	}
}

// Guards against losing a chain of handovers because the last holder publishes
// only the handover of its own incarnation.
func TestOwnHandoverRedirectsEarlierHandovers(t *testing.T) {
	r := New(identity(1, "a"))
	r.AddHandover(start, Handover{Incarnation: 77, Successor: r.Self().Address})
	r.RecordOwnHandover(start.Add(time.Second), "next")
	for _, inc := range []uint64{77, r.Self().Incarnation} {
		if got, _ := r.FindSessionHolder(start.Add(2*time.Second), inc); got != "next" {
			t.Fatalf("sessions of incarnation %d are at %q", inc, got)
		}
	}
}

// Guards against messages that grow with all handovers of a day, and against
// older handovers that never reach instances that start later.
func TestHandoversPerMessage(t *testing.T) {
	r := New(identity(1, "a"))
	for i := range 40 {
		r.AddHandover(start, Handover{Incarnation: uint64(100 + i), Successor: "s"})
	}
	if n := len(r.RecentHandovers(start.Add(time.Minute), 32)); n != 32 {
		t.Errorf("%d new handovers, want 32", n)
	}
	seen := map[uint64]bool{}
	for i := range 4 * 40 {
		handovers := r.RecentHandovers(start.Add(time.Hour+time.Duration(i)*time.Second), 32)
		if len(handovers) > 1 {
			t.Fatalf("%d handovers after an hour, want at most 1", len(handovers))
		}
		for _, h := range handovers {
			seen[h.Incarnation] = true
		}
	}
	if len(seen) != 40 {
		t.Errorf("%d of 40 older handovers were sent in 160 s", len(seen))
	}
}

// Guards against a zone without store watchers, and against exchange rounds
// that leave out the other availability zones or select failed instances.
func TestPeerSelection(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var all []ListedInstance
	for i := 1; i <= 6; i++ {
		all = append(all, listed(i, "ab"[(i-1)/3:(i-1)/3+1]))
	}
	watchers := 0
	for i := 1; i <= 3; i++ {
		r := New(identity(i, "a"))
		r.MergeList(start, all)
		if r.IsStoreWatcher() {
			watchers++
		}
	}
	if watchers != storeWatchers {
		t.Fatalf("%d watchers, want %d", watchers, storeWatchers)
	}
	r := New(identity(1, "a"))
	r.MergeList(start, all)
	r.RecordFailure(start, "e2", true)
	if s, ok := r.Successor(start); !ok || s.Name != "e3" {
		t.Fatalf("successor %+v", s)
	}
	for range 50 {
		zones := map[string]int{}
		for _, p := range r.ExchangePeers(rng) {
			zones[p.AvailabilityZone]++
		}
		if zones["a"] != 2 || zones["b"] != 1 {
			t.Fatalf("round %v", zones)
		}
	}
}

// Guards against relying on a confirmation for too long: a ticket must be in
// force at all instances within 6 s.
func TestConfirmationAge(t *testing.T) {
	r := New(identity(1, "a"))
	if !r.PollDue(start) {
		t.Fatal("no confirmation yet and no poll due")
	}
	r.MergeMessage(start, Message{From: identity(2, "a"), KnownTicket: 7, ConfirmationAge: 2 * time.Second})
	if r.PollDue(start.Add(900*time.Millisecond)) || r.HighestTicket() != 7 {
		t.Fatal("confirmation of a peer was not merged")
	}
	if !r.PollDue(start.Add(1100 * time.Millisecond)) {
		t.Fatal("confirmation older than 3 s accepted")
	}
}
