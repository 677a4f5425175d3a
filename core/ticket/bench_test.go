package ticket

import (
	"fmt"
	"testing"

	"marigoldfront.dev/core/directory"
)

// stateWithTargets returns a valid state with n targets, 160 teams and 480
// callers.
func stateWithTargets(n int) directory.State {
	s := directory.Empty().State.Clone()
	s.Services["check"] = directory.Service{Name: "check", Owner: "Desk", ExpectedMS: 300, MaxAttempts: 3}
	for i := range 160 {
		team := fmt.Sprintf("team-%d", i)
		s.Teams[team] = directory.Team{Name: team, Weight: 1}
		for k := range 3 {
			name := fmt.Sprintf("caller-%d-%d", i, k)
			s.Callers[name] = directory.Caller{Name: name, Team: team, Owner: "Desk", Services: []string{"check"},
				TokenSHA256: fmt.Sprintf("%064x", i*10+k)}
		}
	}
	for i := range n {
		name := fmt.Sprintf("target-%d", i)
		s.Targets[name] = directory.Target{Name: name, Services: []string{"check"}, Region: "r", Rack: "k",
			AvailabilityZone: fmt.Sprintf("z%d", i%17), Address: fmt.Sprintf("10.%d.%d.1:80", i/250, i%250),
			Slots: 8, Connections: 64, MemoryMB: 1 << 17, Accelerators: 2}
	}
	return s
}

// BenchmarkApply measures one ticket that replaces one target, which is the most
// frequent change, for several numbers of targets.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 1000, 3400} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			d := directory.New(1, stateWithTargets(n))
			target := d.State.Targets["target-0"]
			target.Slots = 4
			t, _, err := Prepare(d, Ticket{Nonce: "0123456789abcdef0123456789abcdef", Author: "a", Reason: "r", CreatedUnixMS: 1,
				Put: directory.State{Targets: map[string]directory.Target{"target-0": target}}})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Apply(d, t); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkApplyAll measures the 255 tickets that a starting instance applies to
// a snapshot of 3,400 targets.
func BenchmarkApplyAll(b *testing.B) {
	first := directory.New(1, stateWithTargets(3400))
	d := first
	var all []Ticket
	for i := range 255 {
		target := d.State.Targets["target-0"]
		target.Slots = 1 + i%8
		t, next, err := Prepare(d, Ticket{Nonce: "n", Author: "a", Reason: "r", CreatedUnixMS: 1,
			Put: directory.State{Targets: map[string]directory.Target{"target-0": target}}})
		if err != nil {
			b.Fatal(err)
		}
		all, d = append(all, t), next
	}
	for b.Loop() {
		if _, err := ApplyAll(first, all); err != nil {
			b.Fatal(err)
		}
	}
}
