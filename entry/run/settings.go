// Package run composes an entry instance from its settings, runs it and shuts
// it down gracefully.
package run

import (
	"net/netip"
	"net/url"
	"time"

	"go.uber.org/zap/zapcore"

	"marigoldfront.dev/core/dispatch"
	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/infra/settings"
)

const (
	defaultDrainLimitS = 600
	maxDrainLimitS     = 86_400
	minSecretBytes     = 16
	maxNameBytes       = 255
	maxBorrowFromMS    = 60_000
	defaultMemoryMB    = 768
	// minMemoryMB is the least memory with which the largest submission is served.
	minMemoryMB    = 192
	maxMemoryMB    = 1 << 20
	minDescriptors = 64
)

// Settings holds the contents of the settings file.
type Settings struct {
	Name             string `toml:"name"`
	Region           string `toml:"region"`
	AvailabilityZone string `toml:"availability_zone"`
	// Listen is the IP:port for callers and operators, PeerListen the one for
	// peers. Session tokens contain the peer address, so peers must be able to
	// reach it.
	Listen     string `toml:"listen"`
	PeerListen string `toml:"peer_listen"`
	// PeerAddress is the IP:port that peers use if it differs from PeerListen,
	// for example behind network address translation.
	PeerAddress string `toml:"peer_address"`
	// Store lists the IP:port of each member of the store.
	Store []string `toml:"store"`
	// InstanceList is the base URL of the instance list.
	InstanceList string `toml:"instance_list"`
	PeerSecret   string `toml:"peer_secret"`
	// PreviousPeerSecret is also accepted, so that the secret can be rotated.
	PreviousPeerSecret string `toml:"previous_peer_secret"`
	// MemoryMB is the memory that the process may have, in MiB, including what its
	// connections have received. MaxDescriptors bounds its open descriptors; 0 means the
	// limit of the operating system.
	MemoryMB       int `toml:"memory_mb"`
	MaxDescriptors int `toml:"max_descriptors"`
	// DrainLimitS bounds a graceful shutdown, in seconds.
	DrainLimitS int    `toml:"drain_limit_s"`
	LogLevel    string `toml:"log_level"`
	// Trace is "off", "stdout" or the path of a file.
	Trace string `toml:"trace"`
	// Policy is the dispatch policy, "default" or "baseline".
	Policy string `toml:"policy"`
	// BorrowFromMS is the backlog, in milliseconds, from which the instance
	// also uses slots that are assigned to other instances. A lower value
	// shortens the slowest answers but causes more refused starts
	// (docs/MEASUREMENTS.md).
	BorrowFromMS int `toml:"borrow_from_ms"`
}

// DefaultSettings returns the values of the keys that a file may omit.
func DefaultSettings() Settings {
	return Settings{
		MemoryMB: defaultMemoryMB, DrainLimitS: defaultDrainLimitS, LogLevel: "info", Trace: "off", Policy: "default",
		BorrowFromMS: int(dispatch.DefaultConfig("", 1).MinBorrowBacklog.Milliseconds()),
	}
}

// LoadSettings reads and checks the file at path. It returns the findings of
// all keys; a value of the wrong type is not checked further.
func LoadSettings(path string) (Settings, finding.List) {
	s := DefaultSettings()
	file, findings := settings.Load(path, &s)
	if file.Empty() {
		return s, findings
	}
	reported := map[string]bool{}
	for _, f := range findings {
		reported[f.Place] = true
	}
	for _, f := range s.check(file) {
		if !reported[f.Place] {
			findings = append(findings, f)
		}
	}
	return s, findings
}

// check returns the findings about the values.
func (s *Settings) check(file *settings.File) finding.List {
	var findings finding.List
	add := func(key, message string) { findings.Add(file.Place(key), "%s", message) }
	for key, v := range map[string]string{"name": s.Name, "region": s.Region, "availability_zone": s.AvailabilityZone} {
		if v == "" || len(v) > maxNameBytes {
			add(key, "must have 1 to 255 bytes")
		}
	}
	if _, err := netip.ParseAddrPort(s.Listen); err != nil {
		add("listen", "must be an IP:port")
	}
	if a, err := netip.ParseAddrPort(s.PeerListen); err != nil || a.Addr().IsUnspecified() {
		add("peer_listen", "must be an IP:port that peers can reach")
	}
	if a, err := netip.ParseAddrPort(s.PeerAddress); s.PeerAddress != "" && (err != nil || a.Addr().IsUnspecified()) {
		add("peer_address", "must be an IP:port that peers can reach")
	}
	s.checkPlatform(add)
	if len(s.PeerSecret) < minSecretBytes {
		add("peer_secret", "must have at least 16 bytes")
	}
	if s.MemoryMB < minMemoryMB || s.MemoryMB > maxMemoryMB {
		add("memory_mb", "must be 192 to 1048576")
	}
	if s.MaxDescriptors != 0 && s.MaxDescriptors < minDescriptors {
		add("max_descriptors", "must be at least 64, or 0 for the limit of the operating system")
	}
	if s.DrainLimitS < 1 || s.DrainLimitS > maxDrainLimitS {
		add("drain_limit_s", "must be 1 to 86400")
	}
	if _, err := zapcore.ParseLevel(s.LogLevel); err != nil {
		add("log_level", "must be debug, info, warn or error")
	}
	if s.BorrowFromMS < 1 || s.BorrowFromMS > maxBorrowFromMS {
		add("borrow_from_ms", "must be 1 to 60000")
	}
	if s.Policy != "default" && s.Policy != "baseline" {
		add("policy", "must be default or baseline")
	}
	return findings
}

func (s *Settings) checkPlatform(add func(key, message string)) {
	if len(s.Store) == 0 {
		add("store", "must list at least one IP:port")
	}
	for _, address := range s.Store {
		if _, err := netip.ParseAddrPort(address); err != nil {
			add("store", "must list IP:port only")
			break
		}
	}
	u, err := url.Parse(s.InstanceList)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		add("instance_list", "must be an http or https URL")
	}
}

func (s *Settings) drainLimit() time.Duration {
	return time.Duration(s.DrainLimitS) * time.Second
}
