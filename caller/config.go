package caller

import (
	"net"
	"net/http"
	"net/url"
	"time"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"marigoldfront.dev/core/finding"
)

const (
	// maxAttempts bounds the sends of one request over all instances.
	maxAttempts = 10
	// firstBackoff and maxBackoff bound the pause before a repeat. The pause is
	// drawn uniformly from zero to the current bound, which doubles.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// replyGrace is how long past its own time limit a reply is waited for. An
	// instance that forwards a request gives up after 5 s, and its unknown
	// answer says more than a request that was given up before.
	replyGrace = 6 * time.Second
	// maxAnswerBytes bounds a reply: 550 results of 1 MiB each in base64.
	maxAnswerBytes = 800 << 20
	defaultTimeout = 15 * time.Second
	dialTimeout    = 2 * time.Second
)

// Config describes a caller and where it reaches the entry instances.
type Config struct {
	// Caller is the caller's name as its change ticket states it.
	Caller string
	// Token is the caller's bearer token.
	Token string
	// Bases are the base URLs of entry instances or of their load balancer, for
	// example "http://10.1.0.4:7400". A request goes to the next one when one
	// cannot be reached.
	Bases []string
	// HTTP replaces the library's own HTTP client.
	HTTP *http.Client
	// Tracer records one span per request; nil records none.
	Tracer trace.Tracer
	// RequestTimeout bounds requests other than Submit and a waiting Collect;
	// 0 means 15 s.
	RequestTimeout time.Duration
}

func (c Config) check() error {
	var l finding.List
	if c.Caller == "" {
		l.Add("caller", "is empty")
	}
	if len(c.Bases) == 0 {
		l.Add("bases", "name at least one entry instance")
	}
	for _, b := range c.Bases {
		if u, err := url.Parse(b); err != nil || u.Scheme == "" || u.Host == "" {
			l.Add("bases", "%q is not a URL such as http://10.1.0.4:7400", b)
		}
	}
	return l.Err()
}

func (c Config) withDefaults() Config {
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: newTransport()}
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("caller")
	}
	if c.RequestTimeout == 0 {
		c.RequestTimeout = defaultTimeout
	}
	return c
}

// newTransport returns a transport that keeps many connections, because each
// running submission holds one. net/http may resend a PUT, GET or DELETE by
// itself when a reused connection drops. That is harmless here: submission is
// idempotent, and a copy of an id is answered from the record of the first.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        4096,
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     time.Minute,
	}
}
