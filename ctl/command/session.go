package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/samber/oops"

	"marigoldfront.dev/caller"
	"marigoldfront.dev/ctl/exit"
)

// client returns a client of the caller library with the options of the command
// line.
func (r *Root) client() (*caller.Client, error) {
	if r.Caller == "" || len(r.Entry) == 0 {
		return nil, oops.Code(exit.Usage).
			Hint("Set --entry and --caller, or MARIGOLD_ENTRY and MARIGOLD_CALLER.").
			Errorf("no entry instance or no caller name is given")
	}
	return caller.New(caller.Config{Caller: r.Caller, Token: r.Token, Bases: r.Entry})
}

func (r *Root) openSession(ctx context.Context) (*caller.Client, *caller.Session, error) {
	c, err := r.client()
	if err != nil {
		return nil, nil, err
	}
	s, err := c.Open(ctx)
	return c, s, explainCallerError(err)
}

// explainCallerError adds the exit code and the advice for the user to an error
// of the caller library.
func explainCallerError(err error) error {
	var rejected *caller.Rejected
	var noAnswer *caller.NoAnswer
	switch {
	case errors.As(err, &rejected):
		return oops.Code(exit.Findings).Hint(rejectionHint(rejected.Status)).Wrap(err)
	case errors.As(err, &noAnswer):
		return oops.Code(exit.Unreachable).
			Hint("Check the addresses of --entry with `marigoldctl instances`. Repeating the same job under the same number is safe; a new number may run it again.").
			Wrap(err)
	}
	return err
}

func rejectionHint(status int) string {
	switch status {
	case http.StatusUnauthorized:
		return "Check MARIGOLD_TOKEN. A ticket holds the SHA-256 of the token that is in force; see `marigoldctl owner CALLER` for whom to ask."
	case http.StatusForbidden:
		return "See `marigoldctl owner CALLER` for the services that the caller may use, and use sessions of the same caller only."
	case http.StatusConflict:
		return "The number was used for other content. Submit the new content under a new number."
	case http.StatusUnprocessableEntity:
		return "The number is outside of the session's window, or no job was submitted under it. Check --seq and --first-seq; collecting or acknowledging older answers advances the window."
	case http.StatusTooManyRequests:
		return "Close sessions that are not needed, or try another entry instance."
	}
	return "Correct the places named and submit again. This message started nothing."
}

type sessionOpen struct {
	root *Root
}

type sessionView struct {
	Session string `json:"session"`
}

// Execute implements flags.Commander.
func (c *sessionOpen) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	_, s, err := c.root.openSession(ctx)
	if err != nil {
		return err
	}
	return c.root.printer.Print(sessionView{s.Token()}, func(w io.Writer) { fmt.Fprintln(w, s.Token()) })
}
