package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"marigoldfront.dev/infra/instancelist"
)

const (
	controlTimeout = 10 * time.Second
	maxReplyBytes  = 256 << 20
)

// Platform is the running stand-in for the platform. It serves the store and
// the instance list.
type Platform struct {
	*Process
	// Address is the IP:port of the store and of the instance list.
	Address string
}

// Faults is a change of the faults of the platform. A nil field leaves its
// fault unchanged.
type Faults struct {
	Outage      *bool  `json:"outage,omitempty"`
	DelayMS     *int64 `json:"delay_ms,omitempty"`
	LoseReplies *int   `json:"lose_replies,omitempty"`
	ListOutage  *bool  `json:"list_outage,omitempty"`
	ListLagMS   *int64 `json:"list_lag_ms,omitempty"`
	// Compact compacts the revision history of the store once.
	Compact bool `json:"compact,omitempty"`
}

// URL returns the base URL of the platform.
func (p *Platform) URL() string { return "http://" + p.Address }

// Register adds an instance to the instance list, or replaces its entry.
func (p *Platform) Register(in instancelist.Instance) error {
	return requestJSON(http.MethodPost, p.URL()+"/v1/instances", in, nil)
}

// Remove removes an instance from the instance list.
func (p *Platform) Remove(name string) error {
	return requestJSON(http.MethodDelete, p.URL()+"/v1/instances/"+name, nil, nil)
}

// SetFaults changes the faults of the platform.
func (p *Platform) SetFaults(f Faults) error {
	return requestJSON(http.MethodPost, p.URL()+"/v1/faults", f, nil)
}

// StoreCalls returns the number of calls that the store has received.
func (p *Platform) StoreCalls() (int64, error) {
	var reply struct {
		Store int64 `json:"store"`
	}
	err := requestJSON(http.MethodGet, p.URL()+"/v1/calls", nil, &reply)
	return reply.Store, err
}

// requestJSON sends in as JSON, unless it is nil, and decodes the JSON reply
// into out, unless that is nil. A status of 300 or above is an error.
func requestJSON(method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d: %.200s", method, url, resp.StatusCode, b)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}
