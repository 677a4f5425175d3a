package directory_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/finding"
)

func validState() directory.State {
	return directory.State{
		Teams: map[string]directory.Team{"guild": {Name: "guild", Weight: 1}},
		Services: map[string]directory.Service{
			"appraisal-desk": {Name: "appraisal-desk", Owner: "Desk", ExpectedMS: 200, MaxAttempts: 3},
			"motif-match":    {Name: "motif-match", Owner: "Desk", ExpectedMS: 300, MaxAttempts: 2},
		},
		Callers: map[string]directory.Caller{"dealers": {Name: "dealers", Team: "guild", Owner: "Ama Mensah",
			TokenSHA256: strings.Repeat("0a", 32), Services: []string{"appraisal-desk"}}},
		Targets: map[string]directory.Target{
			"accra-1":  target("accra-1", "127.0.0.1:9001", "appraisal-desk", "motif-match"),
			"kumasi-1": target("kumasi-1", "127.0.0.1:9002", "motif-match"),
		},
	}
}

func target(name, address string, services ...string) directory.Target {
	return directory.Target{Name: name, Services: services, Region: "gh-south", AvailabilityZone: "accra",
		Rack: "r1", Address: address, Slots: 8, Connections: 64, MemoryMB: 128_000}
}

func Example() {
	d := directory.New(1, validState())
	owner, _ := d.Owner("dealers")
	fmt.Println(owner)
	for _, t := range d.TargetsForCaller("dealers") {
		fmt.Println(t.Name, t.Address)
	}
	// Output:
	// Ama Mensah
	// accra-1 127.0.0.1:9001
}

func ExampleState_Validate() {
	s := validState()
	delete(s.Targets, "kumasi-1")
	delete(s.Targets, "accra-1")
	fmt.Println(s.Validate().Err())
	// Output:
	// services["appraisal-desk"]: has no target
	// services["motif-match"]: has no target
}

// Guards against a digest that depends on map order, on the order of lists, or
// on the difference between nil and empty maps.
func TestDigestIsIndependentOfOrder(t *testing.T) {
	want := validState().Digest()
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		s, src := directory.State{Teams: validState().Teams, Services: validState().Services, Callers: validState().Callers,
			Targets: map[string]directory.Target{}}, validState()
		names := slices.Collect(maps.Keys(src.Targets))
		rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
		for _, n := range names {
			v := src.Targets[n]
			rng.Shuffle(len(v.Services), func(i, j int) { v.Services[i], v.Services[j] = v.Services[j], v.Services[i] })
			s.Targets[n] = v
		}
		if got := s.Digest(); got != want {
			t.Fatalf("digest %x, want %x", got, want)
		}
	}
	empty := directory.State{Teams: map[string]directory.Team{}}
	if directory.Empty().Digest != empty.Digest() {
		t.Error("nil and empty maps have different digests")
	}
}

// Guards against a field that is missing from the canonical form, so that the
// digest would not detect a change of it.
func TestDigestCoversEveryField(t *testing.T) {
	keys := []string{"accelerators", "address", "availability_zone", "connections", "expected_ms", "hedge_percent",
		"max_attempts", "max_running", "memory_mb", "name", "owner", "rack", "region", "services", "slots", "team",
		"token_sha256", "weight"}
	got := string(validState().Canonical())
	for _, k := range keys {
		if !strings.Contains(got, `"`+k+`":`) {
			t.Errorf("canonical form lacks %s", k)
		}
	}
}

// Guards against invalid states that pass validation, and against findings
// that do not report the place of the error.
func TestValidateReportsPlace(t *testing.T) {
	tests := map[string]func(*directory.State){
		`teams["guild"].weight`:           func(s *directory.State) { s.Teams["guild"] = directory.Team{Name: "guild"} },
		`teams["x y"].name`:               func(s *directory.State) { s.Teams["x y"] = directory.Team{Name: "x y", Weight: 1} },
		`teams["a"].name`:                 func(s *directory.State) { s.Teams["a"] = directory.Team{Name: "b", Weight: 1} },
		`callers["dealers"].owner`:        func(s *directory.State) { editAll(s.Callers, func(c *directory.Caller) { c.Owner = " " }) },
		`callers["dealers"].team`:         func(s *directory.State) { editAll(s.Callers, func(c *directory.Caller) { c.Team = "" }) },
		`callers["dealers"].token_sha256`: func(s *directory.State) { editAll(s.Callers, func(c *directory.Caller) { c.TokenSHA256 = "0A" }) },
		`callers["dealers"].services[0]`:  func(s *directory.State) { editAll(s.Callers, func(c *directory.Caller) { c.Services = []string{"x"} }) },
		`callers["dealers"].services`:     func(s *directory.State) { editAll(s.Callers, func(c *directory.Caller) { c.Services = nil }) },
		`targets["accra-1"].address`:      func(s *directory.State) { editAll(s.Targets, func(c *directory.Target) { c.Address = "host:1" }) },
		`targets["kumasi-1"].address`:     func(s *directory.State) { editAll(s.Targets, func(c *directory.Target) { c.Address = "10.0.0.1:1" }) },
		`targets["accra-1"].slots`:        func(s *directory.State) { editAll(s.Targets, func(c *directory.Target) { c.Slots = 0 }) },
		`targets["accra-1"].memory_mb`:    func(s *directory.State) { editAll(s.Targets, func(c *directory.Target) { c.MemoryMB = -1 }) },
		`targets["accra-1"].rack`:         func(s *directory.State) { editAll(s.Targets, func(c *directory.Target) { c.Rack = "" }) },
		`services["motif-match"].owner`:   func(s *directory.State) { editAll(s.Services, func(c *directory.Service) { c.Owner = "" }) },
		`services["motif-match"]`:         func(s *directory.State) { clear(s.Targets) },
		`services["motif-match"].max_attempts`: func(s *directory.State) {
			editAll(s.Services, func(c *directory.Service) { c.MaxAttempts = 4 })
		},
	}
	for place, corrupt := range tests {
		s := validState()
		corrupt(&s)
		if !slices.ContainsFunc(s.Validate(), func(f finding.Finding) bool { return f.Place == place }) {
			t.Errorf("no finding at %s in:\n%v", place, s.Validate())
		}
	}
	if l := validState().Validate(); len(l) > 0 {
		t.Errorf("valid state has findings:\n%v", l)
	}
}

func editAll[V any](m map[string]V, f func(*V)) {
	for k, v := range m {
		f(&v)
		m[k] = v
	}
}

// Guards against a corrupted snapshot that is put in force.
func TestDecodeSnapshotRejectsWrongDigest(t *testing.T) {
	d := directory.New(7, validState())
	got, err := directory.DecodeSnapshot(directory.EncodeSnapshot(d))
	if err != nil || got.Number != 7 || got.Digest != d.Digest {
		t.Fatalf("round trip: %+v, %v", got, err)
	}
	d.Digest++
	var l finding.List
	if _, err := directory.DecodeSnapshot(directory.EncodeSnapshot(d)); !errors.As(err, &l) || l[0].Place != "snapshots[7].digest" {
		t.Errorf("got %v, want a finding at the digest", err)
	}
}

// Guards against snapshots from peers or the store that make the decoder panic
// or that yield an unverified configuration.
func FuzzDecodeSnapshot(f *testing.F) {
	b := directory.EncodeSnapshot(directory.New(3, validState()))
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := directory.DecodeSnapshot(b)
		if err == nil && (d.State.Digest() != d.Digest || len(d.State.Validate()) > 0) {
			t.Fatal("accepted an unverified state")
		}
	})
}
