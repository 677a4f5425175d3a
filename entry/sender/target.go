package sender

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"
)

const (
	// dialTimeout bounds the time to connect to a target.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is kept open. It is below the
	// usual idle timeout of servers: if the target closes a connection while a
	// start is sent on it, the outcome is unknown and the start must not be
	// repeated.
	idleTimeout = 30 * time.Second
)

// target holds the connections to one target address.
type target struct {
	startURL  *url.URL
	limit     int
	transport *http.Transport
}

func newTarget(address string, limit int) *target {
	return &target{
		startURL: &url.URL{Scheme: "http", Host: address, Path: "/v1/tasks"},
		limit:    limit,
		transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     limit,
			MaxIdleConns:        limit,
			MaxIdleConnsPerHost: limit,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
			WriteBufferSize:     8 << 10,
		},
	}
}

func dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// ConnectionLimits maps each target address to its maximum number of
// connections.
type ConnectionLimits map[string]int

// SetConnectionLimits replaces the connection limits. It closes the idle
// connections to addresses whose limit has changed or that are no longer
// listed. Attempts in flight keep their connections until they end, so an
// address may exceed its limit for that time.
func (s *Sender) SetConnectionLimits(limits ConnectionLimits) {
	s.mu.Lock()
	var old []*target
	for address, t := range s.targets {
		if limits[address] != t.limit {
			old = append(old, t)
			delete(s.targets, address)
		}
	}
	s.limits = limits
	s.mu.Unlock()
	for _, t := range old {
		t.transport.CloseIdleConnections()
	}
}

// targetFor returns the target at address and creates it if necessary. An
// address without a limit gets one connection.
func (s *Sender) targetFor(address string) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[address]
	if !ok {
		t = newTarget(address, max(1, s.limits[address]))
		s.targets[address] = t
	}
	return t
}
