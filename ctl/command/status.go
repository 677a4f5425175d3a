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
	// awaitInterval is the pause between two questions to the instances.
	awaitInterval = 100 * time.Millisecond
	stateDraining = "draining"
)

// instanceStatus is the part of an entry instance's status that is used here.
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

// inForceView says what is known of one instance.
type inForceView struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability_zone"`
	Ticket           uint64 `json:"ticket"`
	Digest           string `json:"digest,omitempty"`
	InForce          bool   `json:"in_force"`
	// Source is "asked", "peer" with its state, or the error of an instance
	// that did not reply.
	Source string `json:"source"`
}

// Execute implements flags.Commander.
func (c *ticketStatus) Execute([]string) error {
	ctx, cancel := interruptible()
	defer cancel()
	v, err := c.root.status(ctx, c.Args.Number, true)
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
		Hint("An instance that is connected to the store or a peer follows within 6 s. One that stays behind is cut off or stopped; see `marigoldctl instances`.").
		Errorf("%d of %d instances do not have ticket %d in force", v.Behind, len(v.Instances), v.Number)
}

// status asks every named entry instance. With peers it adds those that they
// know of and that were not asked themselves. A draining instance counts as
// neither in force nor behind, because it admits no jobs any more.
func (r *Root) status(ctx context.Context, number uint64, peers bool) (statusView, error) {
	if len(r.Entry) == 0 {
		return statusView{}, oops.Code(exit.Usage).Hint("Set --entry or MARIGOLD_ENTRY to the base URL of each entry instance.").
			Errorf("the command needs the entry instances")
	}
	v := statusView{Number: number}
	known := map[string]bool{}
	var heard []peerStatus
	for _, base := range r.Entry {
		s, err := fetchStatus(ctx, base)
		if err != nil {
			v.add(inForceView{Instance: base, Source: err.Error()}, "")
			continue
		}
		known[s.Instance] = true
		heard = append(heard, s.Peers...)
		v.add(inForceView{s.Instance, s.AvailabilityZone, s.Ticket, s.Digest, s.Ticket >= number, "asked"}, s.State)
	}
	if peers {
		v.addPeers(heard, known)
	}
	return v, nil
}

// addPeers adds the peers that were not asked, with the highest ticket that
// any of the asked instances knows of them.
func (v *statusView) addPeers(heard []peerStatus, asked map[string]bool) {
	slices.SortFunc(heard, func(a, b peerStatus) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(b.Ticket, a.Ticket))
	})
	for _, p := range heard {
		if asked[p.Instance] {
			continue
		}
		asked[p.Instance] = true
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

// fetchJSON reads a status into v.
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

// awaitInForce waits until the ticket is in force at every named instance.
func (r *Root) awaitInForce(ctx context.Context, number uint64, wait time.Duration) error {
	begin := time.Now()
	for {
		v, err := r.status(ctx, number, false)
		if err != nil {
			return err
		}
		if v.Behind == 0 {
			r.printer.Progress("Ticket %d is in force at %d instances after %v.", number, len(v.Instances), time.Since(begin).Round(time.Millisecond))
			return nil
		}
		if time.Since(begin) > wait || ctx.Err() != nil {
			return v.failure()
		}
		time.Sleep(awaitInterval)
	}
}
