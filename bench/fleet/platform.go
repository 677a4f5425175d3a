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

// Platform is the started stand-in of the platform: store and instance list.
type Platform struct {
	*Process
	// Address is the IP:port of store and instance list.
	Address string
}

// Faults changes the failures in force. Fields that are nil stay.
type Faults struct {
	Outage      *bool  `json:"outage,omitempty"`
	DelayMS     *int64 `json:"delay_ms,omitempty"`
	LoseReplies *int   `json:"lose_replies,omitempty"`
	ListOutage  *bool  `json:"list_outage,omitempty"`
	ListLagMS   *int64 `json:"list_lag_ms,omitempty"`
	// Compact forgets the history of the store once.
	Compact bool `json:"compact,omitempty"`
}

// URL returns the base URL.
func (p *Platform) URL() string { return "http://" + p.Address }

// Register adds an instance to the list, or replaces it.
func (p *Platform) Register(in instancelist.Instance) error {
	return control(http.MethodPost, p.URL()+"/v1/instances", in, nil)
}

// Remove takes an instance off the list.
func (p *Platform) Remove(name string) error {
	return control(http.MethodDelete, p.URL()+"/v1/instances/"+name, nil, nil)
}

// SetFaults changes the failures in force.
func (p *Platform) SetFaults(f Faults) error {
	return control(http.MethodPost, p.URL()+"/v1/faults", f, nil)
}

// StoreCalls returns the number of store calls so far.
func (p *Platform) StoreCalls() (int64, error) {
	var reply struct {
		Store int64 `json:"store"`
	}
	err := control(http.MethodGet, p.URL()+"/v1/calls", nil, &reply)
	return reply.Store, err
}

// control sends one request to a stand-in or entry instance and decodes the
// reply into out unless that is nil.
func control(method, url string, in, out any) error {
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
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, maxReplyBytes))
	if err != nil {
		return err
	}
	if w.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s: status %d: %.200s", method, url, w.StatusCode, b)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}
