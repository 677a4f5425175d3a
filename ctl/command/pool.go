package command

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/oops"

	"marigoldfront.dev/core/evacuation"
	"marigoldfront.dev/core/poolstatus"
	"marigoldfront.dev/ctl/exit"
	"marigoldfront.dev/ctl/output"
)

// poolInstances holds the option of the commands that request the status of
// instances for leased targets.
type poolInstances struct {
	Instance []string `long:"instance" env:"MARIGOLD_POOL" env-delim:"," value-name:"URL" required:"yes" description:"Base URL of the metrics address of an instance; may be repeated"`
}

// fetchStatuses returns the status of each instance that responds. It prints the
// error of each other instance, and fails only if no instance responds.
func (p *poolInstances) fetchStatuses(r *Root) ([]poolstatus.Status, error) {
	ctx, cancel := signalContext()
	defer cancel()
	var out []poolstatus.Status
	var lastErr error
	for _, base := range p.Instance {
		s, err := fetchPoolStatus(ctx, base)
		if err != nil {
			r.printer.Progress("%s: %v", base, err)
			lastErr = err
			continue
		}
		out = append(out, s)
	}
	if len(out) == 0 {
		return nil, oops.Code(exit.Unreachable).Hint("Compare --instance with metrics_listen in the instances' settings.").
			Wrapf(lastErr, "no instance answers")
	}
	return out, nil
}

func fetchPoolStatus(ctx context.Context, base string) (s poolstatus.Status, err error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	err = fetchJSON(ctx, strings.TrimSuffix(base, "/")+"/status", &s)
	return s, err
}

type poolStatus struct {
	poolInstances
	root *Root
}

// Execute implements flags.Commander.
func (c *poolStatus) Execute([]string) error {
	all, err := c.fetchStatuses(c.root)
	if err != nil {
		return err
	}
	return c.root.printer.Print(all, func(w io.Writer) {
		var rows [][]string
		for _, s := range all {
			usable, running := 0, 0
			for _, t := range s.Targets {
				running += t.Running
				if t.State == "usable" {
					usable++
				}
			}
			rows = append(rows, []string{
				s.Instance, s.AvailabilityZone, s.State, strconv.FormatInt(s.Configuration, 10), strconv.Itoa(s.HeldShards()),
				strconv.Itoa(len(s.Targets)), strconv.Itoa(usable), strconv.Itoa(len(s.Jobs)), strconv.Itoa(running),
			})
		}
		output.Table(w, "INSTANCE AVAILABILITY_ZONE STATE CONFIGURATION SHARDS TARGETS USABLE JOBS RUNNING", rows)
		printEvacuatedZones(w, all)
	})
}

// printEvacuatedZones prints, for each zone that an instance knows to be evacuated, how
// many of the instances know it, and the targets and running tasks there.
func printEvacuatedZones(w io.Writer, all []poolstatus.Status) {
	var set evacuation.Set
	for _, s := range all {
		for _, zone := range s.EvacuatedZones {
			set = set.With(zone, true)
		}
	}
	var rows [][]string
	for _, zone := range set.Zones {
		known, targets, running := 0, 0, 0
		for _, s := range all {
			if slices.Contains(s.EvacuatedZones, zone) {
				known++
			}
			for _, t := range s.Targets {
				if t.AvailabilityZone == zone {
					targets++
					running += t.Running
				}
			}
		}
		rows = append(rows, []string{zone, fmt.Sprintf("%d/%d", known, len(all)), strconv.Itoa(targets), strconv.Itoa(running)})
	}
	if len(rows) > 0 {
		fmt.Fprintln(w)
		output.Table(w, "EVACUATED_ZONE INSTANCES_INFORMED TARGETS RUNNING", rows)
	}
}

type poolTargets struct {
	poolInstances
	Args struct {
		ID string `positional-arg-name:"ID"`
	} `positional-args:"yes"`
	root *Root
}

// ownedTarget is a target with the name of the instance that owns it.
type ownedTarget struct {
	Owner string `json:"owner"`
	poolstatus.Target
}

// Execute implements flags.Commander.
func (c *poolTargets) Execute([]string) error {
	all, err := c.fetchStatuses(c.root)
	if err != nil {
		return err
	}
	found := []ownedTarget{}
	for _, s := range all {
		for _, t := range s.Targets {
			if c.Args.ID == "" || c.Args.ID == t.ID {
				found = append(found, ownedTarget{s.Instance, t})
			}
		}
	}
	if len(found) == 0 && c.Args.ID != "" {
		return oops.Code(exit.NotFound).Hint("Name all instances of the target's availability zone with --instance.").
			Errorf("none of %d instances owns the target %q", len(all), c.Args.ID)
	}
	slices.SortFunc(found, func(a, b ownedTarget) int { return strings.Compare(a.ID, b.ID) })
	return c.root.printer.Print(found, func(w io.Writer) {
		var rows [][]string
		for _, t := range found {
			rows = append(rows, []string{
				t.ID, t.Service, t.AvailabilityZone, t.Owner, strconv.FormatInt(t.Fence, 10), t.State,
				formatCores(t.FreeCPU) + "/" + formatCores(t.CPU), strconv.Itoa(t.Running), strconv.FormatInt(t.LeaseLeftMS, 10),
				fmt.Sprintf("%.2f", t.Slowness),
			})
		}
		output.Table(w, "TARGET SERVICE AVAILABILITY_ZONE OWNER FENCE STATE FREE_CORES RUNNING LEASE_LEFT_MS SLOWNESS", rows)
	})
}

// formatCores formats a number of thousandths of a core in cores.
func formatCores(thousandths int64) string {
	return strconv.FormatFloat(float64(thousandths)/1000, 'f', 1, 64)
}

type poolJobs struct {
	poolInstances
	root *Root
}

// ownedJob is a job with the name of the instance that dispatches it.
type ownedJob struct {
	Owner string `json:"owner"`
	poolstatus.Job
}

// Execute implements flags.Commander.
func (c *poolJobs) Execute([]string) error {
	all, err := c.fetchStatuses(c.root)
	if err != nil {
		return err
	}
	found := []ownedJob{}
	for _, s := range all {
		for _, j := range s.Jobs {
			found = append(found, ownedJob{s.Instance, j})
		}
	}
	return c.root.printer.Print(found, func(w io.Writer) {
		var rows [][]string
		for _, j := range found {
			rows = append(rows, []string{
				j.ID, j.Queue, j.Owner, strconv.FormatInt(j.AgeMS, 10), strconv.FormatInt(j.LeftMS, 10),
				strconv.Itoa(j.Tasks), strconv.Itoa(j.Done), strconv.Itoa(j.Running), strconv.Itoa(j.Waiting),
			})
		}
		output.Table(w, "JOB QUEUE OWNER AGE_MS LEFT_MS TASKS DONE RUNNING WAITING", rows)
	})
}
