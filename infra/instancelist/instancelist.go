// Package instancelist polls the platform's list of live and leaving instances.
// The list lags behind the actual state, so an instance that it lacks may still
// be running.
package instancelist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"
)

const (
	// interval is the time between two polls.
	interval = time.Second
	// jitter is the fraction of the interval by which it varies randomly in
	// both directions, so that instances do not poll in step.
	jitter = 0.2
	// pollTimeout is the timeout of one poll.
	pollTimeout = 2 * time.Second
	// maxListBytes is the maximum size of a list.
	maxListBytes = 16 << 20
)

// The kinds and states of instances.
const (
	KindEntry    = "entry"
	KindTarget   = "target"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is an entry of the platform's list.
type Instance struct {
	Name             string `json:"name"`
	Kind             string `json:"kind"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availability_zone"`
	// Address is the IP:port of a target, or of the peer listener of an entry
	// instance.
	Address string `json:"address"`
	State   string `json:"state"`
}

// Client polls the list of one region. It is not safe for concurrent use.
type Client struct {
	url  string
	hc   *http.Client
	etag string
	last []Instance
}

// New returns a client for the list at baseURL, for example
// "http://127.0.0.1:7001".
func New(baseURL, region string, hc *http.Client) *Client {
	return &Client{url: baseURL + "/v1/instances?region=" + url.QueryEscape(region), hc: hc}
}

// Poll requests the list once. It returns the last valid list and whether this
// poll replaced it. An error, an empty list or an unchanged list leaves the last
// valid list in place.
func (c *Client) Poll(ctx context.Context) (list []Instance, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return c.last, false, err
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		return c.last, false, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return c.last, false, nil
	case http.StatusOK:
		return c.readList(resp)
	default:
		return c.last, false, fmt.Errorf("instancelist: status %d", resp.StatusCode)
	}
}

func (c *Client) readList(resp *http.Response) ([]Instance, bool, error) {
	var body struct {
		Instances []Instance `json:"instances"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&body); err != nil {
		return c.last, false, fmt.Errorf("instancelist: %w", err)
	}
	if len(body.Instances) == 0 {
		// An empty list is treated as a fault of the platform and never removes
		// all instances. The ETag of the last valid list is kept, so the next
		// poll requests the list again.
		return c.last, false, nil
	}
	c.etag = resp.Header.Get("ETag")
	c.last = body.Instances
	return c.last, true, nil
}

// Run polls until ctx is done and sends every changed list to ch. It passes
// errors to onError, which may be nil.
func (c *Client) Run(ctx context.Context, ch chan<- []Instance, onError func(error)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		list, changed, err := c.Poll(ctx)
		if err != nil && onError != nil && ctx.Err() == nil {
			onError(err)
		}
		if changed {
			select {
			case ch <- list:
			case <-ctx.Done():
				return
			}
		}
		timer.Reset(nextInterval())
	}
}

func nextInterval() time.Duration {
	offset := (rand.Float64()*2 - 1) * jitter
	return time.Duration((1 + offset) * float64(interval))
}
