package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"

	"marigoldfront.dev/caller"
	"marigoldfront.dev/core/answer"
	"marigoldfront.dev/ctl/exit"
	"marigoldfront.dev/ctl/jobfile"
	"marigoldfront.dev/ctl/jobrun"
)

// progressInterval is the minimum time between two progress lines.
const progressInterval = time.Second

type jobSubmit struct {
	Parallel int    `long:"parallel" default:"16" description:"Jobs submitted at once; a session takes up to 1,024"`
	Session  string `long:"session" value-name:"TOKEN" description:"Session to use instead of a new one"`
	FirstSeq uint64 `long:"first-seq" default:"1" description:"First unused number of --session"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"TOML file of jobs"`
	} `positional-args:"yes" required:"yes"`

	root *Root
}

type submitView struct {
	jobrun.Counts
	Answers []answerView `json:"answers"`
}

// Execute implements flags.Commander.
func (c *jobSubmit) Execute([]string) error {
	jobs, found := jobfile.Load(c.Args.File)
	if err := found.Err(); err != nil {
		return oops.Code(exit.Findings).Hint("Correct the places named; no job was submitted.").Wrap(err)
	}
	ctx, cancel := signalContext()
	defer cancel()
	client, s, err := c.session(ctx)
	if err != nil {
		return err
	}
	v := c.run(ctx, client, s, jobs)
	if err := c.root.printer.Print(v, v.print); err != nil {
		return err
	}
	return v.failure()
}

func (c *jobSubmit) session(ctx context.Context) (*caller.Client, *caller.Session, error) {
	if c.Session == "" {
		return c.root.openSession(ctx)
	}
	client, err := c.root.client()
	if err != nil {
		return nil, nil, err
	}
	return client, client.Attach(c.Session, c.FirstSeq), nil
}

func (c *jobSubmit) run(ctx context.Context, client *caller.Client, s *caller.Session, jobs []caller.Job) submitView {
	v := submitView{Answers: make([]answerView, len(jobs))}
	progress := &progressPrinter{root: c.root, total: len(jobs)}
	r := jobrun.New(client, s, c.Parallel, func(res jobrun.Result) {
		a := newAnswerView(res.Reply, res.Err)
		a.Job, a.Session = res.Index+1, res.Session
		v.Answers[res.Index] = a
		v.Add(res)
		progress.update(v.Counts)
	})
	r.Run(ctx, jobs)
	progress.finish(v.Counts)
	if c.Session == "" {
		// An error needs no report: a session that stays open only occupies memory
		// until its idle timeout.
		_ = r.Close(ctx)
	}
	return v
}

func (v submitView) print(w io.Writer) {
	for _, a := range v.Answers {
		if a.State != "complete" {
			fmt.Fprintf(w, "job %d (seq %d): %s %s %s\n", a.Job, a.Seq, a.State, a.Code, a.Message)
		}
	}
	fmt.Fprintln(w, summary(v.Counts))
}

func summary(c jobrun.Counts) string {
	return fmt.Sprintf("%d jobs, %d complete, %d failed, %d not run, %d unknown, %d without answer, %d rejected",
		c.Jobs, c.Complete, c.Failed, c.NotRun, c.Unknown, c.NoAnswer, c.Rejected)
}

func (v submitView) failure() error {
	switch {
	case v.Rejected > 0:
		return oops.Code(exit.Findings).Hint("The messages above name the places.").Errorf("%d jobs were rejected", v.Rejected)
	case v.Unknown+v.NoAnswer > 0:
		return oops.Code(exit.Unknown).Hint(unknownHint(v.firstCode("unknown"))).Errorf("%d jobs may have run", v.Unknown+v.NoAnswer)
	case v.Failed+v.NotRun > 0:
		return oops.Code(exit.NotComplete).Hint(notCompleteHint(v.firstCode("failed", "not_run"))).Errorf("%d jobs are not complete", v.Failed+v.NotRun)
	}
	return nil
}

// firstCode returns the reason code of the first answer in one of the states, or
// an empty code.
func (v submitView) firstCode(states ...string) answer.Code {
	for _, a := range v.Answers {
		if slices.Contains(states, a.State) {
			return a.Code
		}
	}
	return ""
}

// progressPrinter prints the number of answered jobs at most once per
// progressInterval.
type progressPrinter struct {
	root  *Root
	total int
	mu    sync.Mutex
	next  time.Time
}

func (p *progressPrinter) update(c jobrun.Counts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Before(p.next) || c.Jobs == p.total {
		return
	}
	p.next = now.Add(progressInterval)
	p.root.printer.Progress("%d of %d jobs answered", c.Jobs, p.total)
}

func (p *progressPrinter) finish(c jobrun.Counts) {
	p.root.printer.Progress("%d of %d jobs answered", c.Jobs, p.total)
}

type jobID struct {
	Session string `long:"session" value-name:"TOKEN" required:"yes" description:"Session that the job was submitted in"`
	Seq     uint64 `long:"seq" required:"yes" description:"Sequence number of the job"`
}

type jobCollect struct {
	jobID
	Wait time.Duration `long:"wait" default:"0s" description:"How long to wait for the answer, up to 60s"`

	root *Root
}

// Execute implements flags.Commander.
func (c *jobCollect) Execute([]string) error {
	return c.root.requestAnswer(c.jobID, func(ctx context.Context, s *caller.Session) (caller.Reply, error) {
		return s.Collect(ctx, c.Seq, c.Wait)
	})
}

type jobCancel struct {
	jobID

	root *Root
}

// Execute implements flags.Commander.
func (c *jobCancel) Execute([]string) error {
	return c.root.requestAnswer(c.jobID, func(ctx context.Context, s *caller.Session) (caller.Reply, error) {
		return s.Cancel(ctx, c.Seq)
	})
}

// requestAnswer sends one request about a submitted job and prints the answer.
func (r *Root) requestAnswer(id jobID, send func(context.Context, *caller.Session) (caller.Reply, error)) error {
	ctx, cancel := signalContext()
	defer cancel()
	client, err := r.client()
	if err != nil {
		return err
	}
	rep, err := send(ctx, client.Attach(id.Session, id.Seq+1))
	var noAnswer *caller.NoAnswer
	if err != nil && !errors.As(err, &noAnswer) {
		return explainCallerError(err)
	}
	v := newAnswerView(rep, err)
	v.Session = ""
	if err := r.printer.Print(v, v.print); err != nil {
		return err
	}
	if err != nil {
		return explainCallerError(err)
	}
	return v.failure()
}
