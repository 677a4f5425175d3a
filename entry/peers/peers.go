// Package peers holds the roster of the other entry instances and the
// authenticated HTTP connections to them.
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
	dialTimeout         = time.Second
	maxIdlePerPeer      = 128
	idleTimeout         = 90 * time.Second
	bearerPrefix        = "Bearer "
	authorizationHeader = "Authorization"
	// maxPeerConnections bounds the idle connections to all peers, the
	// connections to one peer, and the number of cached clients.
	maxPeerConnections = 1024
)

// Registry holds the Roster of an instance and a client for each peer address.
// It is safe for concurrent use.
type Registry struct {
	secret    string
	transport *http.Transport

	mu      sync.Mutex
	roster  *membership.Roster
	clients map[string]wire.Peer
}

// New returns the Registry of the instance self, whose requests to peers carry
// secret.
func New(self membership.Identity, secret string) *Registry {
	return &Registry{
		secret: secret,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConns:        maxPeerConnections,
			MaxIdleConnsPerHost: maxIdlePerPeer,
			MaxConnsPerHost:     maxPeerConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		roster:  membership.New(self),
		clients: map[string]wire.Peer{},
	}
}

// WithRoster calls fn with exclusive access to the Roster. fn must not call the
// Registry or keep the Roster.
func (r *Registry) WithRoster(fn func(*membership.Roster)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn(r.roster)
}

// Client returns a client for the peer at address.
func (r *Registry) Client(address string) wire.Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.clients[address]
	if !ok {
		if len(r.clients) >= maxPeerConnections {
			// Clients of terminated instances would accumulate otherwise.
			// Live addresses get a new client on their next use.
			clear(r.clients)
		}
		c = wire.NewPeerProtobufClient("http://"+address, &authClient{http: &http.Client{Transport: r.transport}, secret: r.secret})
		r.clients[address] = c
	}
	return c
}

// Close closes the idle connections.
func (r *Registry) Close() { r.transport.CloseIdleConnections() }

// unusedHeaders are default headers that no peer reads. They would be a sixth
// of the bytes of the exchange messages, whose traffic is limited to 5 KB/s.
var unusedHeaders = []string{"Accept", "Twirp-Version"}

// authClient is an HTTP client that adds the peer secret to every request.
type authClient struct {
	http   *http.Client
	secret string
}

// Do implements wire.HTTPClient.
func (c *authClient) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set(authorizationHeader, bearerPrefix+c.secret)
	for _, h := range unusedHeaders {
		req.Header.Del(h)
	}
	// An empty value prevents the transport from adding a default header.
	req.Header.Set("User-Agent", "")
	return c.http.Do(req)
}

// Authenticate returns a handler that passes requests with one of the secrets
// to next and rejects all others with status 401. Empty secrets are ignored.
func Authenticate(next http.Handler, secrets ...string) http.Handler {
	var accepted [][sha256.Size]byte
	for _, s := range secrets {
		if s != "" {
			accepted = append(accepted, sha256.Sum256([]byte(s)))
		}
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get(authorizationHeader), bearerPrefix)))
		ok := 0
		for _, a := range accepted {
			ok |= subtle.ConstantTimeCompare(a[:], presented[:])
		}
		if ok != 1 {
			http.Error(w, "the peer secret is wrong", http.StatusUnauthorized)
			return
		}
		// A nil value prevents the server from adding the header.
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}
