package command

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/samber/oops"

	"marigoldfront.dev/core/draft"
	"marigoldfront.dev/core/finding"
	"marigoldfront.dev/ctl/exit"
	"marigoldfront.dev/wire"
)

type poolCheck struct {
	Against  string   `long:"against" value-name:"FILE|URL" description:"Configuration to compare with: a file, or the base URL of the metrics address of an instance"`
	Instance []string `long:"instance" value-name:"URL" description:"Base URL of the metrics address of an instance, to find services without targets; may be repeated"`
	Args     struct {
		File string `positional-arg-name:"FILE" description:"Configuration in the form of the platform's store"`
	} `positional-args:"yes" required:"yes"`

	root *Root
}

// checkView is the result of a check.
type checkView struct {
	Errors   []placeView    `json:"errors"`
	Warnings []placeView    `json:"warnings"`
	Changes  []draft.Change `json:"changes"`
	// Against is what the configuration was compared with, or empty.
	Against string `json:"against,omitempty"`
}

type placeView struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

func placeViews(found finding.List) []placeView {
	views := []placeView{}
	for _, f := range found {
		views = append(views, placeView(f))
	}
	return views
}

// Execute implements flags.Commander.
func (c *poolCheck) Execute([]string) error {
	ctx, cancel := signalContext()
	defer cancel()
	v, err := c.check(ctx)
	if err != nil {
		return err
	}
	if err := c.root.printer.Print(v, v.print); err != nil {
		return err
	}
	if len(v.Errors) > 0 {
		return oops.Code(exit.Findings).Hint("Correct the places named before the configuration is written.").
			Errorf("the configuration has errors: %d", len(v.Errors))
	}
	return nil
}

func (c *poolCheck) check(ctx context.Context) (*checkView, error) {
	v := &checkView{Errors: []placeView{}, Warnings: []placeView{}, Changes: []draft.Change{}}
	d, found, err := c.loadFile(c.Args.File)
	if err != nil {
		return nil, err
	}
	if d == nil {
		v.Errors = placeViews(found)
		return v, nil
	}
	served, err := c.servedServices(ctx)
	if err != nil {
		return nil, err
	}
	found = d.Errors()
	if c.Against != "" {
		old, err := c.loadOther(ctx)
		if err != nil {
			return nil, err
		}
		if d.Version <= old.Version {
			found.Add(d.Place, "the version %d is not newer than %d, so that no instance applies it", d.Version, old.Version)
		}
		v.Against, v.Changes = c.Against, append(v.Changes, draft.Diff(old, d)...)
	}
	v.Errors, v.Warnings = placeViews(found), placeViews(d.Warnings(served))
	return v, nil
}

// loadFile reads a configuration. A file that cannot be decoded gives findings.
func (c *poolCheck) loadFile(path string) (*draft.Draft, finding.List, error) {
	value, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, oops.Code(exit.Failure).Wrapf(err, "the configuration cannot be read")
	}
	d, found := c.root.configurations.Draft(path, value)
	return d, found, nil
}

// loadOther reads the configuration to compare with.
func (c *poolCheck) loadOther(ctx context.Context) (*draft.Draft, error) {
	if !strings.Contains(c.Against, "://") {
		d, found, err := c.loadFile(c.Against)
		if err == nil {
			err = found.Err()
		}
		return d, err
	}
	s, err := fetchPoolStatus(ctx, c.Against)
	if err != nil {
		return nil, unreachableInstance(err)
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	out, err := wire.NewPoolProtobufClient("http://"+s.PeerAddress, http.DefaultClient).FetchConfiguration(ctx, &wire.FetchConfigurationRequest{})
	if err != nil {
		return nil, unreachableInstance(err)
	}
	if out.Version == 0 {
		return &draft.Draft{}, nil
	}
	d, found := c.root.configurations.Draft(c.Against, out.Value)
	return d, found.Err()
}

func unreachableInstance(err error) error {
	return oops.Code(exit.Unreachable).Hint("Name the metrics address of an instance that is up, and run the command where its peer address can be reached.").
		Wrapf(err, "the instance does not answer")
}

// servedServices returns the services with targets at the instances named by
// --instance, or nil if none is named.
func (c *poolCheck) servedServices(ctx context.Context) (map[string]bool, error) {
	if len(c.Instance) == 0 {
		return nil, nil
	}
	served := map[string]bool{}
	for _, base := range c.Instance {
		s, err := fetchPoolStatus(ctx, base)
		if err != nil {
			return nil, unreachableInstance(err)
		}
		for _, t := range s.Targets {
			served[t.Service] = true
		}
	}
	return served, nil
}

func (v *checkView) print(w io.Writer) {
	for _, f := range v.Errors {
		fmt.Fprintf(w, "error: %s: %s\n", f.Place, f.Message)
	}
	for _, f := range v.Warnings {
		fmt.Fprintf(w, "warning: %s: %s\n", f.Place, f.Message)
	}
	for _, change := range v.Changes {
		fmt.Fprintf(w, "  %s\n", change)
	}
	summary := fmt.Sprintf("%d errors, %d warnings", len(v.Errors), len(v.Warnings))
	if v.Against != "" {
		summary += fmt.Sprintf(", %d changes from %s", len(v.Changes), v.Against)
	}
	fmt.Fprintln(w, summary)
}
