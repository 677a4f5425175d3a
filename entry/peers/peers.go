// Package peers holds what an entry instance knows of the others, and the
// connections to them.
package peers

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"marigoldfront.dev/core/membership"
	"marigoldfront.dev/wire"
)

const (
	dialTimeout     = time.Second
	idlePerPeer     = 128
	idleTimeout     = 90 * time.Second
	bearer          = "Bearer "
	authorization   = "Authorization"
	peerConnections = 1024
)

// Registry is a Roster that several goroutines share, with a client for each
// peer address.
type Registry struct {
	secret    string
	transport *http.Transport

	mu      sync.Mutex
	roster  *membership.Roster
	clients map[string]wire.Peer
}

// New returns the Registry of an instance that authenticates with secret.
func New(self membership.Identity, secret string) *Registry {
	return &Registry{
		secret: secret,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConns:        peerConnections,
			MaxIdleConnsPerHost: idlePerPeer,
			MaxConnsPerHost:     peerConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		roster:  membership.New(self),
		clients: map[string]wire.Peer{},
	}
}

// WithRoster calls fn with the Roster, which nothing else touches meanwhile.
func (p *Registry) WithRoster(fn func(*membership.Roster)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn(p.roster)
}

// Client returns a client for the peer at address.
func (p *Registry) Client(address string) wire.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		if len(p.clients) >= peerConnections {
			// Addresses of instances that are gone would pile up.
			clear(p.clients)
		}
		c = wire.NewPeerProtobufClient("http://"+address, &client{http: &http.Client{Transport: p.transport}, secret: p.secret})
		p.clients[address] = c
	}
	return c
}

// Close drops the idle connections.
func (p *Registry) Close() { p.transport.CloseIdleConnections() }

// unused are headers that no peer reads. They would be a sixth of the bytes
// of the exchange messages, which count against 5 KB/s.
var unused = []string{"Accept", "Twirp-Version"}

// client adds the secret to every request.
type client struct {
	http   *http.Client
	secret string
}

// Do implements wire.HTTPClient.
func (c *client) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set(authorization, bearer+c.secret)
	for _, h := range unused {
		req.Header.Del(h)
	}
	// An empty value keeps the transport from adding its own.
	req.Header.Set("User-Agent", "")
	return c.http.Do(req)
}

// Authenticate passes on the requests that carry one of the secrets. Empty
// secrets are ignored.
func Authenticate(next http.Handler, secrets ...string) http.Handler {
	var accepted [][sha256.Size]byte
	for _, s := range secrets {
		if s != "" {
			accepted = append(accepted, sha256.Sum256([]byte(s)))
		}
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get(authorization), bearer)))
		ok := 0
		for _, a := range accepted {
			ok |= subtle.ConstantTimeCompare(a[:], given[:])
		}
		if ok != 1 {
			http.Error(w, "the peer secret is wrong", http.StatusUnauthorized)
			return
		}
		// A nil value keeps the server from adding the header.
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}
