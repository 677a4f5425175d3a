package directory

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"marigoldfront.dev/core/finding"
)

// The limits of a valid state.
const (
	// MaxNameBytes limits the length of the names of objects, regions,
	// availability zones and racks.
	MaxNameBytes = 64
	// MaxOwnerBytes limits the length of owners, which are free text.
	MaxOwnerBytes = 200
	// MaxWeight limits the weight of a team.
	MaxWeight = 1_000_000
	// MaxExpectedMS limits the expected run time of a task in milliseconds. It
	// equals the longest allowed timeout of a job.
	MaxExpectedMS = 600_000
	// MaxAttempts limits the attempts per repeatable task.
	MaxAttempts = 3
	// MaxSlots limits the slots of a target.
	MaxSlots = 10_000
	// MaxConnections limits the connections of a target.
	MaxConnections = 65_535
)

const tokenHexDigits = 64

// Validate checks s as a whole and returns all findings, sorted by place
// within each kind of object. An empty list means that s is valid and may be
// put in force.
func (s State) Validate() finding.List {
	v := validator{state: s, addresses: map[netip.AddrPort]string{}, served: map[string]bool{}}
	for _, k := range sortedKeys(s.Teams) {
		v.team(k, s.Teams[k])
	}
	for _, k := range sortedKeys(s.Targets) {
		v.target(k, s.Targets[k])
	}
	for _, k := range sortedKeys(s.Services) {
		v.service(k, s.Services[k])
	}
	for _, k := range sortedKeys(s.Callers) {
		v.caller(k, s.Callers[k])
	}
	return v.findings
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

type validator struct {
	state    State
	findings finding.List
	// addresses maps the address of each target to the name of the target.
	addresses map[netip.AddrPort]string
	// served holds the services that have a target.
	served map[string]bool
}

func (v *validator) team(key string, t Team) {
	at := fmt.Sprintf("teams[%q]", key)
	v.key(at, key, t.Name)
	v.bounds(at+".weight", int64(t.Weight), 1, MaxWeight)
	if t.MaxRunning < 0 {
		v.findings.Add(at+".max_running", "is %d, allowed is 0 (no cap) or more", t.MaxRunning)
	}
}

func (v *validator) service(key string, s Service) {
	at := fmt.Sprintf("services[%q]", key)
	v.key(at, key, s.Name)
	v.owner(at+".owner", s.Owner)
	v.bounds(at+".expected_ms", s.ExpectedMS, 1, MaxExpectedMS)
	v.bounds(at+".hedge_percent", int64(s.HedgePercent), 0, 100)
	v.bounds(at+".max_attempts", int64(s.MaxAttempts), 1, MaxAttempts)
	if !v.served[key] {
		v.findings.Add(at, "has no target")
	}
}

func (v *validator) caller(key string, c Caller) {
	at := fmt.Sprintf("callers[%q]", key)
	v.key(at, key, c.Name)
	v.owner(at+".owner", c.Owner)
	if _, ok := v.state.Teams[c.Team]; !ok {
		v.findings.Add(at+".team", "team %q does not exist", c.Team)
	}
	if _, err := hex.DecodeString(c.TokenSHA256); err != nil || len(c.TokenSHA256) != tokenHexDigits ||
		strings.ToLower(c.TokenSHA256) != c.TokenSHA256 {
		v.findings.Add(at+".token_sha256", "is not %d lower-case hex digits", tokenHexDigits)
	}
	v.services(at+".services", c.Services)
}

func (v *validator) target(key string, t Target) {
	at := fmt.Sprintf("targets[%q]", key)
	v.key(at, key, t.Name)
	v.name(at+".region", t.Region)
	v.name(at+".availability_zone", t.AvailabilityZone)
	v.name(at+".rack", t.Rack)
	v.address(at+".address", key, t.Address)
	v.bounds(at+".slots", int64(t.Slots), 1, MaxSlots)
	v.bounds(at+".connections", int64(t.Connections), 1, MaxConnections)
	if t.MemoryMB < 0 {
		v.findings.Add(at+".memory_mb", "is %d, allowed is 0 or more", t.MemoryMB)
	}
	if t.Accelerators < 0 {
		v.findings.Add(at+".accelerators", "is %d, allowed is 0 or more", t.Accelerators)
	}
	v.services(at+".services", t.Services)
	for _, s := range t.Services {
		v.served[s] = true
	}
}

func (v *validator) key(at, key, name string) {
	v.name(at+".name", name)
	if key != name {
		v.findings.Add(at+".name", "is %q but the object is filed under %q", name, key)
	}
}

func (v *validator) name(at, name string) {
	if name == "" {
		v.findings.Add(at, "is empty")
		return
	}
	if !wellFormed(name) {
		v.findings.Add(at, "%q is not well-formed: 1 to %d letters, digits, '-', '_' or '.', first a letter or digit",
			name, MaxNameBytes)
	}
}

func wellFormed(name string) bool {
	if len(name) > MaxNameBytes || strings.ContainsRune("-_.", rune(name[0])) {
		return false
	}
	for _, r := range name {
		letter := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z'
		digit := '0' <= r && r <= '9'
		if !letter && !digit && r != '-' && r != '_' && r != '.' {
			return false
		}
	}
	return true
}

func (v *validator) owner(at, owner string) {
	switch {
	case strings.TrimSpace(owner) == "":
		v.findings.Add(at, "is empty: an owner must be on record")
	case len(owner) > MaxOwnerBytes:
		v.findings.Add(at, "has %d bytes, allowed are %d", len(owner), MaxOwnerBytes)
	case !utf8.ValidString(owner) || strings.ContainsFunc(owner, unicode.IsControl):
		v.findings.Add(at, "%q holds invalid UTF-8 or control characters", owner)
	}
}

func (v *validator) bounds(at string, n, low, high int64) {
	if n < low || n > high {
		v.findings.Add(at, "is %d, allowed are %d to %d", n, low, high)
	}
}

func (v *validator) address(at, target, address string) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		v.findings.Add(at, "%q is not IP:port", address)
		return
	}
	// If two targets shared an address, its slots would be counted twice.
	if other, ok := v.addresses[ap]; ok {
		v.findings.Add(at, "%s is also the address of target %q", address, other)
	}
	v.addresses[ap] = target
}

func (v *validator) services(at string, services []string) {
	if len(services) == 0 {
		v.findings.Add(at, "is empty")
	}
	seen := make(map[string]bool, len(services))
	for i, s := range services {
		if _, ok := v.state.Services[s]; !ok {
			v.findings.Add(fmt.Sprintf("%s[%d]", at, i), "service %q does not exist", s)
		}
		if seen[s] {
			v.findings.Add(fmt.Sprintf("%s[%d]", at, i), "service %q is listed twice", s)
		}
		seen[s] = true
	}
}
