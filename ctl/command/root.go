// Package command implements the commands of marigoldctl.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"marigoldfront.dev/core/draft"
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

	printer        *output.Printer
	configurations Configurations
}

// Configurations decodes configurations in the form in which operators write them to
// the platform's store.
type Configurations interface {
	// Draft decodes a configuration that may be invalid. path is the name of its file
	// in the places of the findings.
	Draft(path string, value []byte) (*draft.Draft, finding.List)
}

// New returns a Root that writes results to out, and progress and errors to
// errOut.
func New(out, errOut io.Writer, configurations Configurations) *Root {
	return &Root{printer: &output.Printer{Out: out, Err: errOut}, configurations: configurations}
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
	r.printError(err)
	return exit.CodeOf(err)
}

// printError prints an error and the advice that it carries. Help that was
// requested is printed as a result.
func (r *Root) printError(err error) {
	var usage *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(r.printer.Out, usage.Message)
	case errors.As(err, &usage):
		fmt.Fprintf(r.printer.Err, "marigoldctl: %s\nRun marigoldctl --help, or --help after a command, for examples.\n", usage.Message)
	default:
		r.printFailure(err)
	}
}

func (r *Root) printFailure(err error) {
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

// signalContext returns a context that is cancelled on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}

// addGroup adds a command that only has subcommands.
func addGroup(p *flags.Parser, name, short string) *flags.Command {
	c, err := p.AddCommand(name, short, short+".", &struct{}{})
	if err != nil {
		panic(err)
	}
	return c
}

type commandAdder interface {
	AddCommand(command, short, long string, data any) (*flags.Command, error)
}

func addCommand(to commandAdder, name, short, long string, c flags.Commander) {
	if _, err := to.AddCommand(name, short, long, c); err != nil {
		panic(err)
	}
}

func (r *Root) addCommands(p *flags.Parser) {
	s := addGroup(p, "session", "Open sessions (callers)")
	addCommand(s, "open", "Open a session and print its token", sessionOpenHelp, &sessionOpen{root: r})
	j := addGroup(p, "job", "Submit, collect and cancel jobs (callers)")
	addCommand(j, "submit", "Submit a file of jobs and wait for the answers", jobSubmitHelp, &jobSubmit{root: r})
	addCommand(j, "collect", "Ask for the answer of a submitted job", jobCollectHelp, &jobCollect{root: r})
	addCommand(j, "cancel", "Cancel a submitted job", jobCancelHelp, &jobCancel{root: r})
	t := addGroup(p, "ticket", "Check, apply and inspect change tickets (operators)")
	addCommand(t, "check", "Check a ticket file against the newest configuration", ticketCheckHelp, &ticketCheck{root: r})
	addCommand(t, "apply", "Apply a ticket file", ticketApplyHelp, &ticketApply{root: r})
	addCommand(t, "show", "Show an accepted ticket", ticketShowHelp, &ticketShow{root: r})
	addCommand(t, "diff", "Show what differs between two configurations", ticketDiffHelp, &ticketDiff{root: r})
	addCommand(t, "verify", "Recompute the configuration of a ticket number", ticketVerifyHelp, &ticketVerify{root: r})
	addCommand(t, "status", "Show where a ticket is in force", ticketStatusHelp, &ticketStatus{root: r})
	o := addGroup(p, "pool", "Inspect instances for leased targets (operators)")
	addCommand(o, "status", "Show state, configuration and load of instances", poolStatusHelp, &poolStatus{root: r})
	addCommand(o, "targets", "Show who owns a target, and its lease, load and speed", poolTargetsHelp, &poolTargets{root: r})
	addCommand(o, "jobs", "Show the jobs without an answer at their owners", poolJobsHelp, &poolJobs{root: r})
	addCommand(o, "check", "Check a configuration before it is written to the store", poolCheckHelp, &poolCheck{root: r})
	addCommand(p, "owner", "Show who owns a caller (operators)", ownerHelp, &ownerCommand{root: r})
	addCommand(p, "targets", "Show which targets serve a service or a caller (operators)", targetsHelp, &targetsCommand{root: r})
	addCommand(p, "instances", "Show the platform's instance list (operators)", instancesHelp, &instancesCommand{root: r})
}
