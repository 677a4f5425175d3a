package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/ctl/exit"
	"marigoldfront.dev/ctl/output"
	"marigoldfront.dev/infra/instancelist"
)

type asOfOption struct {
	AsOf uint64 `long:"as-of" value-name:"N" description:"Use the configuration after ticket N instead of the newest"`
}

type ownerCommand struct {
	asOfOption
	Args struct {
		Caller string `positional-arg-name:"CALLER"`
	} `positional-args:"yes" required:"yes"`

	root *Root
}

type ownerView struct {
	Ticket   uint64   `json:"ticket"`
	Caller   string   `json:"caller"`
	Owner    string   `json:"owner"`
	Team     string   `json:"team"`
	Services []string `json:"services"`
}

// Execute implements flags.Commander.
func (c *ownerCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	d, err := c.root.configuration(ctx, c.AsOf)
	if err != nil {
		return err
	}
	o, ok := d.Caller(c.Args.Caller)
	if !ok {
		return callerNotFound(d, c.Args.Caller)
	}
	v := ownerView{d.Number, o.Name, o.Owner, o.Team, o.Services}
	return c.root.printer.Print(v, func(w io.Writer) {
		fmt.Fprintf(w, "caller %s is owned by %s\nteam: %s\nservices: %s\nas of ticket %d\n",
			v.Caller, v.Owner, v.Team, strings.Join(v.Services, ", "), v.Ticket)
	})
}

func callerNotFound(d *directory.Directory, name string) error {
	return oops.Code(exit.NotFound).Hint("Callers are created by a ticket with [[callers]]; check the spelling or use --as-of.").
		Errorf("caller %q does not exist as of ticket %d", name, d.Number)
}

type targetsCommand struct {
	asOfOption
	Args struct {
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes"`

	root *Root
}

type targetsView struct {
	Ticket  uint64             `json:"ticket"`
	Targets []directory.Target `json:"targets"`
}

// Execute implements flags.Commander.
func (c *targetsCommand) Execute([]string) error {
	if c.Args.Service == "" && c.root.Caller == "" {
		return oops.Code(exit.Usage).Hint("Examples: targets appraisal-desk; targets --caller rug-dealers.").
			Errorf("name either a service or a caller with --caller")
	}
	ctx, cancel := signalContext()
	defer cancel()
	d, err := c.root.configuration(ctx, c.AsOf)
	if err != nil {
		return err
	}
	v := targetsView{Ticket: d.Number}
	if v.Targets, err = c.find(d); err != nil {
		return err
	}
	return c.root.printer.Print(v, v.print)
}

func (c *targetsCommand) find(d *directory.Directory) ([]directory.Target, error) {
	if c.Args.Service == "" {
		if _, ok := d.Caller(c.root.Caller); !ok {
			return nil, callerNotFound(d, c.root.Caller)
		}
		return d.TargetsForCaller(c.root.Caller), nil
	}
	if _, ok := d.Service(c.Args.Service); !ok {
		return nil, oops.Code(exit.NotFound).Hint("Services are created by a ticket with [[services]]; check the spelling or use --as-of.").
			Errorf("service %q does not exist as of ticket %d", c.Args.Service, d.Number)
	}
	return d.TargetsForService(c.Args.Service), nil
}

func (v targetsView) print(w io.Writer) {
	var rows [][]string
	for _, t := range v.Targets {
		rows = append(rows, []string{t.Name, t.AvailabilityZone, t.Rack, t.Address, strconv.Itoa(t.Slots),
			strconv.FormatInt(t.MemoryMB, 10), strconv.FormatInt(t.Accelerators, 10), strings.Join(t.Services, ",")})
	}
	output.Table(w, "TARGET AVAILABILITY_ZONE RACK ADDRESS SLOTS MEMORY_MB ACCELERATORS SERVICES", rows)
	fmt.Fprintf(w, "%d targets as of ticket %d\n", len(v.Targets), v.Ticket)
}

type instancesCommand struct {
	root *Root
}

type instancesView struct {
	Instances []instancelist.Instance `json:"instances"`
}

// Execute implements flags.Commander.
func (c *instancesCommand) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	list, err := c.root.listInstances(ctx)
	if err != nil {
		return err
	}
	v := instancesView{list}
	return c.root.printer.Print(v, func(w io.Writer) {
		var rows [][]string
		for _, i := range list {
			rows = append(rows, []string{i.Name, i.Kind, i.Region, i.AvailabilityZone, i.Address, i.State})
		}
		output.Table(w, "INSTANCE KIND REGION AVAILABILITY_ZONE ADDRESS STATE", rows)
		fmt.Fprintf(w, "%d instances\n", len(list))
	})
}

func (r *Root) listInstances(ctx context.Context) ([]instancelist.Instance, error) {
	if r.InstanceList == "" {
		return nil, oops.Code(exit.Usage).Hint("Set --instance-list or MARIGOLD_INSTANCE_LIST to its base URL.").
			Errorf("no instance list is given")
	}
	list, _, err := instancelist.New(r.InstanceList, r.Region, http.DefaultClient).Poll(ctx)
	if err != nil {
		return nil, oops.Code(exit.Unreachable).
			Hint("Entry instances keep the last list that they read; try again when the instance list is available again.").Wrap(err)
	}
	return list, nil
}
