package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/samber/oops"

	"marigoldfront.dev/core/directory"
	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/core/ticket"
	"marigoldfront.dev/ctl/exit"
	"marigoldfront.dev/ctl/ticketfile"
	"marigoldfront.dev/infra/ticketlog"
)

type fileArgument struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"TOML file of the ticket"`
	} `positional-args:"yes" required:"yes"`
}

// preparedTicket is a ticket that is valid for the newest configuration, with
// the configurations before and after it.
type preparedTicket struct {
	base   *directory.Directory
	result *directory.Directory
	ticket ticket.Ticket
}

// prepareTicket reads a ticket file and numbers its ticket after the newest one.
// It writes nothing to the store.
func (r *Root) prepareTicket(ctx context.Context, path string) (preparedTicket, error) {
	f, found := ticketfile.Load(path)
	if len(found) > 0 {
		return preparedTicket{}, invalidFile(found)
	}
	base, err := r.configuration(ctx, 0)
	if err != nil {
		return preparedTicket{}, err
	}
	if f.Base != nil && *f.Base != base.Number {
		return preparedTicket{}, oops.Code(exit.Conflict).
			Hint(fmt.Sprintf("See `marigoldctl ticket diff %d %d`, adapt the file and set its base to %d.", *f.Base, base.Number, base.Number)).
			Errorf("the file is based on ticket %d, but the newest is %d", *f.Base, base.Number)
	}
	t := f.Ticket()
	t.Nonce, t.CreatedUnixMS = ticketlog.NewNonce(), time.Now().UnixMilli()
	t, result, err := ticket.Prepare(base, t)
	var list finding.List
	if errors.As(err, &list) {
		return preparedTicket{}, invalidFile(f.Locate(list))
	}
	return preparedTicket{base: base, result: result, ticket: t}, err
}

func invalidFile(found finding.List) error {
	return oops.Code(exit.Findings).Hint("Correct the places named and run `marigoldctl ticket check` again.").Wrap(found)
}

type changesView struct {
	Number  uint64       `json:"number"`
	Base    uint64       `json:"base"`
	Digest  string       `json:"digest"`
	Changes []changeView `json:"changes"`
}

type changeView struct {
	Kind   ticket.Kind `json:"kind"`
	Name   string      `json:"name"`
	Op     ticket.Op   `json:"op"`
	Fields []fieldView `json:"fields,omitempty"`

	text string
}

type fieldView struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func newChangesView(from, to *directory.Directory) changesView {
	v := changesView{Number: to.Number, Base: from.Number, Digest: formatDigest(to.Digest), Changes: []changeView{}}
	for _, c := range ticket.Diff(from, to) {
		change := changeView{Kind: c.Kind, Name: c.Name, Op: c.Op, text: c.String()}
		for _, f := range c.Fields {
			change.Fields = append(change.Fields, fieldView(f))
		}
		v.Changes = append(v.Changes, change)
	}
	return v
}

func (v changesView) print(w io.Writer) {
	for _, c := range v.Changes {
		fmt.Fprintln(w, "  "+c.text)
	}
	fmt.Fprintf(w, "%d changes from ticket %d to %d, digest %s\n", len(v.Changes), v.Base, v.Number, v.Digest)
}

func formatDigest(d uint64) string { return fmt.Sprintf("%016x", d) }

type ticketCheck struct {
	fileArgument

	root *Root
}

// Execute implements flags.Commander.
func (c *ticketCheck) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	p, err := c.root.prepareTicket(ctx, c.Args.File)
	if err != nil {
		return err
	}
	v := newChangesView(p.base, p.result)
	return c.root.printer.Print(v, func(w io.Writer) {
		v.print(w)
		fmt.Fprintf(w, "The ticket is valid and would become number %d. Nothing was written.\n", v.Number)
	})
}

type ticketApply struct {
	fileArgument
	Wait time.Duration `long:"wait" default:"0s" description:"Wait up to this long until the ticket is in force at every --entry"`

	root *Root
}

// Execute implements flags.Commander.
func (c *ticketApply) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	p, err := c.root.prepareTicket(ctx, c.Args.File)
	if err != nil {
		return err
	}
	if err := c.accept(ctx, p); err != nil {
		return err
	}
	v := newChangesView(p.base, p.result)
	err = c.root.printer.Print(v, func(w io.Writer) {
		v.print(w)
		fmt.Fprintf(w, "Ticket %d is accepted.\n", v.Number)
	})
	if err != nil || c.Wait == 0 {
		return err
	}
	return c.root.waitInForce(ctx, v.Number, c.Wait)
}

func (c *ticketApply) accept(ctx context.Context, p preparedTicket) error {
	l, err := c.root.ticketLog()
	if err != nil {
		return err
	}
	l.OnSnapshotError = func(err error) {
		c.root.printer.Progress("The snapshot was not written, the next writer will try again: %v", err)
	}
	err = l.Accept(ctx, p.base, p.ticket)
	var conflict *ticketlog.Conflict
	if errors.As(err, &conflict) {
		return oops.Code(exit.Conflict).
			Hint("Nothing was changed. Read what the other ticket changed, adapt the file and apply it again.").Wrap(err)
	}
	return explainStoreError(err)
}

type ticketShow struct {
	Args struct {
		Number uint64 `positional-arg-name:"N"`
	} `positional-args:"yes" required:"yes"`

	root *Root
}

// Execute implements flags.Commander.
func (c *ticketShow) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	l, err := c.root.ticketLog()
	if err != nil {
		return err
	}
	n := c.Args.Number
	ts, err := l.After(ctx, max(n, 1)-1)
	if len(ts) == 0 || n == 0 {
		if err != nil {
			return explainStoreError(err)
		}
		return oops.Code(exit.NotFound).Hint("Numbers start at 1. `marigoldctl ticket check FILE` shows the next one.").Errorf("ticket %d does not exist", n)
	}
	return c.root.printer.Print(ts[0], func(w io.Writer) { printTicket(w, ts[0]) })
}

func printTicket(w io.Writer, t ticket.Ticket) {
	fmt.Fprintf(w, "ticket %d, base %d, digest %s\n", t.Number, t.Base, formatDigest(t.Digest))
	fmt.Fprintf(w, "author: %s\nreason: %s\n", t.Author, t.Reason)
	fmt.Fprintf(w, "created: %s\n", time.UnixMilli(t.CreatedUnixMS).UTC().Format(time.RFC3339))
	for _, o := range t.AffectedObjects() {
		fmt.Fprintf(w, "  touches %s\n", o)
	}
}

type ticketDiff struct {
	Args struct {
		From uint64 `positional-arg-name:"A"`
		To   uint64 `positional-arg-name:"B"`
	} `positional-args:"yes" required:"yes"`

	root *Root
}

// Execute implements flags.Commander.
func (c *ticketDiff) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	from, err := c.root.configurationBefore(ctx, c.Args.From+1)
	if err != nil {
		return err
	}
	to, err := c.root.configurationBefore(ctx, c.Args.To+1)
	if err != nil {
		return err
	}
	v := newChangesView(from, to)
	return c.root.printer.Print(v, v.print)
}

type ticketVerify struct {
	Args struct {
		Number uint64 `positional-arg-name:"N"`
	} `positional-args:"yes" required:"yes"`

	root *Root
}

type verifyView struct {
	Number   uint64 `json:"number"`
	Digest   string `json:"digest"`
	Teams    int    `json:"teams"`
	Services int    `json:"services"`
	Callers  int    `json:"callers"`
	Targets  int    `json:"targets"`
}

// Execute implements flags.Commander. It applies every ticket from the first one
// on instead of starting at a snapshot, so that a wrong snapshot cannot hide a
// wrong ticket.
func (c *ticketVerify) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	l, err := c.root.ticketLog()
	if err != nil {
		return err
	}
	ts, err := l.After(ctx, 0)
	d := directory.Empty()
	for _, t := range ts {
		if t.Number > c.Args.Number {
			break
		}
		next, applyErr := ticket.Apply(d, t)
		if applyErr != nil {
			return explainStoreError(&ticketlog.CorruptError{Number: t.Number, Err: applyErr})
		}
		d = next
	}
	if d.Number != c.Args.Number {
		if err != nil {
			return explainStoreError(err)
		}
		return oops.Code(exit.NotFound).Hint("Verify the newest number or an earlier one.").
			Errorf("ticket %d does not exist, the newest is %d", c.Args.Number, d.Number)
	}
	s := d.State
	v := verifyView{d.Number, formatDigest(d.Digest), len(s.Teams), len(s.Services), len(s.Callers), len(s.Targets)}
	return c.root.printer.Print(v, func(w io.Writer) {
		fmt.Fprintf(w, "ticket %d is verified: digest %s, %d teams, %d services, %d callers, %d targets\n",
			v.Number, v.Digest, v.Teams, v.Services, v.Callers, v.Targets)
	})
}
