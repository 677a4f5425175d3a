// Package output prints the results of commands as text or JSON.
package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Format is the format of the output.
type Format string

// The formats.
const (
	Text Format = "text"
	JSON Format = "json"
)

// Printer writes results to Out in its format, and progress messages to Err.
type Printer struct {
	Format Format
	Out    io.Writer
	Err    io.Writer
}

// Print writes v as indented JSON, or calls text if the format is Text.
func (p *Printer) Print(v any, text func(w io.Writer)) error {
	if p.Format == JSON {
		enc := json.NewEncoder(p.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	text(p.Out)
	return nil
}

// Progress writes one line to Err.
func (p *Printer) Progress(format string, args ...any) {
	fmt.Fprintf(p.Err, format+"\n", args...)
}

// Table writes rows in aligned columns under the space-separated titles in
// header.
func Table(w io.Writer, header string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(strings.Fields(header), "\t"))
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	t.Flush()
}
