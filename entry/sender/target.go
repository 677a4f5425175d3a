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
	// idleTimeout is how long an unused connection is kept. It is below the
	// usual time of servers: a start on a connection that the target closes
	// at that moment is lost, and may not be repeated.
	idleTimeout = 30 * time.Second
)

// target holds the connections to one address.
type target struct {
	starts    *url.URL
	limit     int
	transport *http.Transport
}

func newTarget(address string, limit int) *target {
	return &target{
		starts: &url.URL{Scheme: "http", Host: address, Path: "/v1/tasks"},
		limit:  limit,
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

// ConnectionLimits bounds the connections to each target address.
type ConnectionLimits map[string]int

// SetConnectionLimits puts new connection limits in force and drops the connections to
// addresses that are no longer named. Attempts in flight keep their
// connection until they end, so the bound may be exceeded by them for a while.
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

func (s *Sender) target(address string) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[address]
	if !ok {
		t = newTarget(address, max(1, s.limits[address]))
		s.targets[address] = t
	}
	return t
}
