// Package command holds the commands of marigoldctl.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/ctl/exit"
	"marigoldfront.dev/ctl/output"
)

// Root holds the options that all commands share. Construct it with New.
type Root struct {
	Output       string   `long:"output" choice:"text" choice:"json" default:"text" description:"Form of the output"`
	Store        []string `long:"store" env:"MARIGOLD_STORE" env-delim:"," value-name:"IP:PORT" description:"Address of the platform's store; may be repeated"`
	InstanceList string   `long:"instance-list" env:"MARIGOLD_INSTANCE_LIST" value-name:"URL" description:"Base URL of the platform's instance list"`
	Region       string   `long:"region" env:"MARIGOLD_REGION" description:"Region whose instances are listed; empty lists all"`
	Entry        []string `long:"entry" env:"MARIGOLD_ENTRY" env-delim:"," value-name:"URL" description:"Base URL of an entry instance or its load balancer; may be repeated"`
	Caller       string   `long:"caller" env:"MARIGOLD_CALLER" value-name:"NAME" description:"Name of the caller that submits"`
	Token        string   `long:"token" env:"MARIGOLD_TOKEN" default-mask:"-" description:"Bearer token of the caller; prefer the environment variable, which other users cannot see"`

	printer *output.Printer
}

// New returns a Root that prints to out, and progress to errOut.
func New(out, errOut io.Writer) *Root {
	return &Root{printer: &output.Printer{Out: out, Err: errOut}}
}

// Run parses the command line, runs the command and returns the exit code.
func (r *Root) Run(args []string) exit.Code {
	p := flags.NewNamedParser("marigoldctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = rootHelp
	if _, err := p.AddGroup("Options of all commands", "", r); err != nil {
		panic(err)
	}
	r.addCommands(p)
	p.CommandHandler = func(c flags.Commander, rest []string) error {
		r.printer.Format = output.Format(r.Output)
		if c == nil {
			return nil
		}
		if len(rest) > 0 {
			return &flags.Error{Type: flags.ErrUnknown, Message: fmt.Sprintf("unexpected argument %q", rest[0])}
		}
		return c.Execute(rest)
	}
	_, err := p.ParseArgs(args)
	r.report(err)
	return exit.CodeOf(err)
}

// report prints an error and what to do about it.
func (r *Root) report(err error) {
	var usage *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(r.printer.Out, usage.Message)
	case errors.As(err, &usage):
		fmt.Fprintf(r.printer.Err, "marigoldctl: %s\nRun marigoldctl --help, or --help after a command, for examples.\n", usage.Message)
	default:
		r.reportFailure(err)
	}
}

func (r *Root) reportFailure(err error) {
	var list finding.List
	if errors.As(err, &list) {
		fmt.Fprintf(r.printer.Err, "marigoldctl: %d findings, nothing was changed\n", len(list))
		for _, f := range list {
			fmt.Fprintf(r.printer.Err, "%s: %s\n", f.Place, f.Message)
		}
	} else {
		fmt.Fprintf(r.printer.Err, "marigoldctl: %v\n", err)
	}
	if hint := exit.Hint(err); hint != "" {
		fmt.Fprintf(r.printer.Err, "What to do: %s\n", hint)
	}
}

// interruptible returns a context that ends with SIGINT or SIGTERM.
func interruptible() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// group adds a command that only has subcommands.
func group(p *flags.Parser, name, short string) *flags.Command {
	c, err := p.AddCommand(name, short, short+".", &struct{}{})
	if err != nil {
		panic(err)
	}
	return c
}

type adder interface {
	AddCommand(command, short, long string, data any) (*flags.Command, error)
}

func add(to adder, name, short, long string, c flags.Commander) {
	if _, err := to.AddCommand(name, short, long, c); err != nil {
		panic(err)
	}
}

func (r *Root) addCommands(p *flags.Parser) {
	s := group(p, "session", "Open sessions (callers)")
	add(s, "open", "Open a session and print its token", sessionOpenHelp, &sessionOpen{root: r})
	j := group(p, "job", "Submit, collect and cancel jobs (callers)")
	add(j, "submit", "Submit a file of jobs and wait for the answers", jobSubmitHelp, &jobSubmit{root: r})
	add(j, "collect", "Ask for the answer of a submitted job", jobCollectHelp, &jobCollect{root: r})
	add(j, "cancel", "Cancel a submitted job", jobCancelHelp, &jobCancel{root: r})
	t := group(p, "ticket", "Check, apply and inspect change tickets (operators)")
	add(t, "check", "Check a ticket file against the newest configuration", ticketCheckHelp, &ticketCheck{root: r})
	add(t, "apply", "Apply a ticket file", ticketApplyHelp, &ticketApply{root: r})
	add(t, "show", "Show an accepted ticket", ticketShowHelp, &ticketShow{root: r})
	add(t, "diff", "Show what differs between two configurations", ticketDiffHelp, &ticketDiff{root: r})
	add(t, "verify", "Recompute the configuration of a ticket number", ticketVerifyHelp, &ticketVerify{root: r})
	add(t, "status", "Show where a ticket is in force", ticketStatusHelp, &ticketStatus{root: r})
	o := group(p, "pool", "Inspect instances for leased targets (operators)")
	add(o, "status", "Show state, configuration and load of instances", poolStatusHelp, &poolStatus{root: r})
	add(o, "targets", "Show who owns a target, and its lease, load and speed", poolTargetsHelp, &poolTargets{root: r})
	add(o, "jobs", "Show the jobs without an answer at their owners", poolJobsHelp, &poolJobs{root: r})
	add(p, "owner", "Show who owns a caller (operators)", ownerHelp, &owner{root: r})
	add(p, "targets", "Show which targets serve a service or a caller (operators)", targetsHelp, &targets{root: r})
	add(p, "instances", "Show the platform's instance list (operators)", instancesHelp, &instances{root: r})
}
