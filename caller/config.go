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
	// maxAttempts is the maximum number of attempts to send a request, over all
	// instances.
	maxAttempts = 10
	// firstBackoff is the maximum pause before the first retry. The maximum
	// doubles with each retry up to maxBackoff. The pause is uniformly
	// distributed between zero and the current maximum.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// replyGrace is the time beyond a request's own time limit for which the
	// library waits for the reply. An instance that forwards a request times out
	// after 5 s and then replies with an unknown answer, which gives the caller
	// more information than a timeout of the request.
	replyGrace = 6 * time.Second
	// maxAnswerBytes is the maximum size of a reply. It holds 550 results of
	// 1 MiB each in base64.
	maxAnswerBytes = 800 << 20
	defaultTimeout = 15 * time.Second
	dialTimeout    = 2 * time.Second
)

// Config holds the identity of a caller and the addresses of the entry
// instances.
type Config struct {
	// Caller is the name of the caller as defined by a change ticket.
	Caller string
	// Token is the caller's bearer token.
	Token string
	// Bases holds the base URLs of entry instances or of their load balancer,
	// for example "http://10.1.0.4:7400". If one of them cannot be reached, a
	// request is sent to the next one.
	Bases []string
	// HTTP is the HTTP client to use; nil means the library's own.
	HTTP *http.Client
	// Tracer records one span per request; nil records none.
	Tracer trace.Tracer
	// RequestTimeout is the timeout of a request including its retries; 0 means
	// 15 s. Collect adds its waiting time to it. Submit ignores it and times out
	// 6 s after the job's timeout.
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

// newTransport returns a transport that keeps many idle connections, because
// each running submission uses one. net/http may resend a PUT, GET or DELETE
// request without notice when a reused connection is lost. This is harmless,
// because submission is idempotent: a repeated sequence number is answered from
// the record of the first request.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConns:        4096,
		MaxIdleConnsPerHost: 1024,
		IdleConnTimeout:     time.Minute,
	}
}
