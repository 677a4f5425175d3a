package directory

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// The canonical types list the fields of the objects in the alphabetical order
// of their JSON keys. Encoding a generic map would sort the keys as well, but
// takes several times as long, and an instance may compute up to 255 digests in
// a row when it starts.
type canonicalTeam struct {
	MaxRunning int    `json:"max_running"`
	Name       string `json:"name"`
	Weight     int    `json:"weight"`
}

type canonicalService struct {
	ExpectedMS   int64  `json:"expected_ms"`
	HedgePercent int    `json:"hedge_percent"`
	MaxAttempts  int    `json:"max_attempts"`
	Name         string `json:"name"`
	Owner        string `json:"owner"`
}

type canonicalCaller struct {
	Name        string   `json:"name"`
	Owner       string   `json:"owner"`
	Services    []string `json:"services"`
	Team        string   `json:"team"`
	TokenSHA256 string   `json:"token_sha256"`
}

type canonicalTarget struct {
	Accelerators     int64    `json:"accelerators"`
	Address          string   `json:"address"`
	AvailabilityZone string   `json:"availability_zone"`
	Connections      int      `json:"connections"`
	MemoryMB         int64    `json:"memory_mb"`
	Name             string   `json:"name"`
	Rack             string   `json:"rack"`
	Region           string   `json:"region"`
	Services         []string `json:"services"`
	Slots            int      `json:"slots"`
}

type canonicalState struct {
	Callers  map[string]canonicalCaller  `json:"callers"`
	Services map[string]canonicalService `json:"services"`
	Targets  map[string]canonicalTarget  `json:"targets"`
	Teams    map[string]canonicalTeam    `json:"teams"`
}

// Canonical returns the canonical JSON of s: keys sorted, lists of services
// sorted, no null values and no white space.
func (s State) Canonical() []byte {
	c := canonicalState{
		Callers:  make(map[string]canonicalCaller, len(s.Callers)),
		Services: make(map[string]canonicalService, len(s.Services)),
		Targets:  make(map[string]canonicalTarget, len(s.Targets)),
		Teams:    make(map[string]canonicalTeam, len(s.Teams)),
	}
	for k, v := range s.Teams {
		c.Teams[k] = canonicalTeam{Name: v.Name, Weight: v.Weight, MaxRunning: v.MaxRunning}
	}
	for k, v := range s.Services {
		c.Services[k] = canonicalService{Name: v.Name, Owner: v.Owner, ExpectedMS: v.ExpectedMS,
			HedgePercent: v.HedgePercent, MaxAttempts: v.MaxAttempts}
	}
	for k, v := range s.Callers {
		c.Callers[k] = canonicalCaller{Name: v.Name, Team: v.Team, Owner: v.Owner,
			TokenSHA256: v.TokenSHA256, Services: sortedCopy(v.Services)}
	}
	for k, v := range s.Targets {
		c.Targets[k] = canonicalTarget{Name: v.Name, Services: sortedCopy(v.Services), Region: v.Region,
			AvailabilityZone: v.AvailabilityZone, Rack: v.Rack, Address: v.Address, Slots: v.Slots,
			Connections: v.Connections, MemoryMB: v.MemoryMB, Accelerators: v.Accelerators}
	}
	b, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("directory: encode state: %v", err))
	}
	return b
}

// Digest returns the xxhash64 of the canonical JSON of s.
func (s State) Digest() uint64 {
	return xxhash.Sum64(s.Canonical())
}
