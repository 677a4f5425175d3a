package command

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"marigoldfront.dev/ctl/exit"
	"marigoldfront.dev/ctl/output"
)

const (
	statusTimeout  = 2 * time.Second
	maxStatusBytes = 4 << 20
	// pollInterval is the pause between two requests to the instances while the
	// command waits for a ticket to be in force.
	pollInterval  = 100 * time.Millisecond
	stateDraining = "draining"
)

// instanceStatus holds the fields of an entry instance's status that the
// commands use.
type instanceStatus struct {
	Instance          string       `json:"instance"`
	AvailabilityZone  string       `json:"availability_zone"`
	State             string       `json:"state"`
	Ticket            uint64       `json:"ticket"`
	Digest            string       `json:"digest"`
	ConfirmationAgeMS int64        `json:"confirmation_age_ms"`
	Peers             []peerStatus `json:"peers"`
}

type peerStatus struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability_zone"`
	State            string `json:"state"`
	Ticket           uint64 `json:"ticket"`
}

type ticketStatus struct {
	Args struct {
		Number uint64 `positional-arg-name:"N"`
	} `positional-args:"yes" required:"yes"`

	root *Root
}

type statusView struct {
	Number    uint64        `json:"number"`
	Behind    int           `json:"behind"`
	Draining  int           `json:"draining"`
	Instances []inForceView `json:"instances"`
}

// inForceView reports the ticket of one instance and where it was read.
type inForceView struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability_zone"`
	Ticket           uint64 `json:"ticket"`
	Digest           string `json:"digest,omitempty"`
	InForce          bool   `json:"in_force"`
	// Source is "asked" for an instance that replied, "peer" and a state for one
	// that only its peers reported, or the error of one that did not reply.
	Source string `json:"source"`
}

// Execute implements flags.Commander.
func (c *ticketStatus) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	v, err := c.root.collectStatus(ctx, c.Args.Number, true)
	if err != nil {
		return err
	}
	if err := c.root.printer.Print(v, v.print); err != nil {
		return err
	}
	return v.failure()
}

func (v statusView) print(w io.Writer) {
	var rows [][]string
	for _, i := range v.Instances {
		rows = append(rows, []string{i.Instance, i.AvailabilityZone, strconv.FormatUint(i.Ticket, 10), strconv.FormatBool(i.InForce), i.Source})
	}
	output.Table(w, "INSTANCE AVAILABILITY_ZONE TICKET IN_FORCE SOURCE", rows)
	serving := len(v.Instances) - v.Draining
	fmt.Fprintf(w, "ticket %d: in force at %d of %d instances, %d draining\n", v.Number, serving-v.Behind, serving, v.Draining)
}

func (v statusView) failure() error {
	if v.Behind == 0 {
		return nil
	}
	return oops.Code(exit.NotInForce).
		Hint("An instance that is connected to the store or a peer has the ticket in force within 6 s. One that stays behind is disconnected or stopped; see `marigoldctl instances`.").
		Errorf("%d of %d instances do not have ticket %d in force", v.Behind, len(v.Instances), v.Number)
}

// collectStatus requests the status of every instance named by --entry. With
// includePeers it adds the instances that these report as peers and that are not
// named. A draining instance counts as neither in force nor behind, because it
// no longer admits jobs.
func (r *Root) collectStatus(ctx context.Context, number uint64, includePeers bool) (statusView, error) {
	if len(r.Entry) == 0 {
		return statusView{}, oops.Code(exit.Usage).Hint("Set --entry or MARIGOLD_ENTRY to the base URL of each entry instance.").
			Errorf("no entry instance is given")
	}
	v := statusView{Number: number}
	asked := map[string]bool{}
	var reported []peerStatus
	for _, base := range r.Entry {
		s, err := fetchStatus(ctx, base)
		if err != nil {
			v.add(inForceView{Instance: base, Source: err.Error()}, "")
			continue
		}
		asked[s.Instance] = true
		reported = append(reported, s.Peers...)
		v.add(inForceView{s.Instance, s.AvailabilityZone, s.Ticket, s.Digest, s.Ticket >= number, "asked"}, s.State)
	}
	if includePeers {
		v.addPeers(reported, asked)
	}
	return v, nil
}

// addPeers adds the reported peers that are not in seen, each with the highest
// ticket that was reported for it. It adds them to seen.
func (v *statusView) addPeers(reported []peerStatus, seen map[string]bool) {
	slices.SortFunc(reported, func(a, b peerStatus) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(b.Ticket, a.Ticket))
	})
	for _, p := range reported {
		if seen[p.Instance] {
			continue
		}
		seen[p.Instance] = true
		v.add(inForceView{p.Instance, p.AvailabilityZone, p.Ticket, "", p.Ticket >= v.Number, "peer, " + p.State}, p.State)
	}
}

func (v *statusView) add(i inForceView, state string) {
	v.Instances = append(v.Instances, i)
	switch {
	case state == stateDraining:
		v.Draining++
	case !i.InForce:
		v.Behind++
	}
}

func fetchStatus(ctx context.Context, base string) (instanceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var s instanceStatus
	err := fetchJSON(ctx, strings.TrimSuffix(base, "/")+"/v1/status", &s)
	return s, err
}

// fetchJSON requests url and decodes the JSON response into v.
func fetchJSON(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(v)
}

// waitInForce waits until the ticket is in force at every instance named by
// --entry that is not draining. It returns an error with the code NotInForce if
// that takes longer than wait or the context ends.
func (r *Root) waitInForce(ctx context.Context, number uint64, wait time.Duration) error {
	start := time.Now()
	for {
		v, err := r.collectStatus(ctx, number, false)
		if err != nil {
			return err
		}
		if v.Behind == 0 {
			r.printer.Progress("Ticket %d is in force at %d instances after %v.", number, len(v.Instances), time.Since(start).Round(time.Millisecond))
			return nil
		}
		if time.Since(start) > wait || ctx.Err() != nil {
			return v.failure()
		}
		time.Sleep(pollInterval)
	}
}
