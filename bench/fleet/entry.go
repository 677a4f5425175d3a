package fleet

import (
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"marigoldfront.dev/bench/faultproxy"
	"marigoldfront.dev/infra/instancelist"
)

// EntrySpec describes an entry instance to start.
type EntrySpec struct {
	Name             string
	Region           string
	AvailabilityZone string
	// Policy is "default" or "baseline"; empty means default.
	Policy string
	// Stores replaces the addresses of the store, for example with that of a
	// proxy.
	Stores []string
	// InstanceList replaces the URL of the instance list.
	InstanceList string
	// Proxy, if set, forwards to the peer address and is published in its place.
	// It stays open when the process exits, so that a restart keeps the address.
	Proxy *faultproxy.Proxy
	// DrainLimitS limits a planned stop, in seconds; 0 means 30.
	DrainLimitS int
	LogLevel    string
	Trace       string
}

// entrySettings is the settings file of an entry instance.
type entrySettings struct {
	Name             string   `toml:"name"`
	Region           string   `toml:"region"`
	AvailabilityZone string   `toml:"availability_zone"`
	Listen           string   `toml:"listen"`
	PeerListen       string   `toml:"peer_listen"`
	PeerAddress      string   `toml:"peer_address,omitempty"`
	Store            []string `toml:"store"`
	InstanceList     string   `toml:"instance_list"`
	PeerSecret       string   `toml:"peer_secret"`
	DrainLimitS      int      `toml:"drain_limit_s,omitempty"`
	LogLevel         string   `toml:"log_level,omitempty"`
	Trace            string   `toml:"trace,omitempty"`
	Policy           string   `toml:"policy,omitempty"`
}

const (
	peerSecret  = "loopback-test-secret-of-sufficient-length"
	drainLimitS = 30
	// stopTimeout is longer than the drain limit, so that only a stop that hangs
	// exceeds it.
	stopTimeout = (drainLimitS + 10) * time.Second
)

// Entry is a running entry instance.
type Entry struct {
	*Process
	EntrySpec
	// Address is the IP:port that serves callers and operators.
	Address string
	// PeerAddress is the IP:port that serves other instances.
	PeerAddress string
}

// URL returns the base URL for callers and operators.
func (e *Entry) URL() string { return "http://" + e.Address }

// StartEntry starts an entry instance and adds it to the instance list as live.
func (f *Fleet) StartEntry(s EntrySpec) (*Entry, error) {
	path, err := f.writeSettings(s)
	if err != nil {
		return nil, err
	}
	p, ready, err := f.start(s.Name, nil, entryProgram, "--config", path)
	if err != nil {
		return nil, err
	}
	if s.Proxy != nil {
		s.Proxy.SetServer(ready["peer_listen"])
	}
	e := &Entry{Process: p, EntrySpec: s, Address: ready["listen"], PeerAddress: ready["peer_listen"]}
	f.mu.Lock()
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	return e, f.Platform.Register(e.instanceListEntry(instancelist.StateLive))
}

func (f *Fleet) writeSettings(s EntrySpec) (string, error) {
	c := entrySettings{
		Name: s.Name, Region: s.Region, AvailabilityZone: s.AvailabilityZone,
		Listen: loopback, PeerListen: loopback,
		Store: []string{f.Platform.Address}, InstanceList: f.Platform.URL(), PeerSecret: peerSecret,
		DrainLimitS: drainLimitS, LogLevel: s.LogLevel, Trace: s.Trace, Policy: s.Policy,
	}
	if len(s.Stores) > 0 {
		c.Store = s.Stores
	}
	if s.InstanceList != "" {
		c.InstanceList = s.InstanceList
	}
	if s.Proxy != nil {
		c.PeerAddress = s.Proxy.Addr()
	}
	if s.DrainLimitS > 0 {
		c.DrainLimitS = s.DrainLimitS
	}
	b, err := toml.Marshal(c)
	if err != nil {
		return "", err
	}
	path := filepath.Join(f.dir, s.Name+".toml")
	return path, os.WriteFile(path, b, 0o600)
}

func (e *Entry) instanceListEntry(state string) instancelist.Instance {
	address := e.PeerAddress
	if e.Proxy != nil {
		address = e.Proxy.Addr()
	}
	return instancelist.Instance{Name: e.Name, Kind: instancelist.KindEntry, Region: e.Region,
		AvailabilityZone: e.AvailabilityZone, Address: address, State: state}
}

// MarkEntryLeaving marks the instance as leaving on the instance list.
func (f *Fleet) MarkEntryLeaving(e *Entry) error {
	return f.Platform.Register(e.instanceListEntry(instancelist.StateLeaving))
}

// StopEntry marks the instance as leaving, requests a graceful stop, waits for
// the process to exit and removes the instance from the instance list.
func (f *Fleet) StopEntry(e *Entry) error {
	if err := f.MarkEntryLeaving(e); err != nil {
		return err
	}
	if err := e.Stop(stopTimeout); err != nil {
		return err
	}
	return f.Platform.Remove(e.Name)
}

// Status is the part of an entry instance's status that the benchmarks use.
type Status struct {
	Instance string `json:"instance"`
	State    string `json:"state"`
	Ticket   uint64 `json:"ticket"`
	Queue    struct {
		Jobs    int `json:"jobs"`
		Tasks   int `json:"tasks"`
		Running int `json:"running"`
	} `json:"queue"`
}

// Status requests the status of the instance.
func (e *Entry) Status() (Status, error) {
	var s Status
	err := requestJSON(http.MethodGet, e.URL()+"/v1/status", nil, &s)
	return s, err
}
