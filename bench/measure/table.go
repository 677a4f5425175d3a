package measure

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
)

const rowFormat = "%-22s %-9s %4s %5s %6s %7s %7s %7s %8s %6s %7s %7s %8s %7s %6s %6s %8s %9s %9s %8s  %s\n"

var columns = []string{"scenario", "policy", "seed", "load", "jobs", "p50", "p95", "p99", "goodput",
	"failed", "not_run", "unknown", "refused", "extra", "lost", "stops", "forwards", "mismatch", "control_B", "cpu_ms", "reasons"}

func printHeader(w io.Writer) {
	fmt.Fprintln(w, "p50, p95, p99: slowdown of complete jobs. refused to mismatch: messages per answer.")
	fmt.Fprintln(w, "control_B: bytes per entry instance and second in an idle system. cpu_ms: per 1,000 starts (idle: per 1,000 s).")
	printFields(w, columns)
}

func printFields(w io.Writer, f []string) {
	args := make([]any, len(f))
	for i, s := range f {
		args[i] = s
	}
	fmt.Fprintf(w, rowFormat, args...)
}

func (r Row) print(w io.Writer) { printFields(w, r.fields()) }

func (r Row) fields() []string {
	f := func(v float64, digits int) string { return strconv.FormatFloat(v, 'f', digits, 64) }
	return []string{r.Scenario, r.Policy, strconv.FormatUint(r.Seed, 10), f(r.Load, 2), strconv.Itoa(r.Jobs),
		f(r.P50, 2), f(r.P95, 2), f(r.P99, 2), f(r.Goodput, 3),
		strconv.Itoa(r.Failed), strconv.Itoa(r.NotRun), strconv.Itoa(r.Unknown),
		f(r.RefusedAttempts, 3), f(r.ExtraStarts, 3), f(r.AmbiguousAttempts, 3), f(r.StopRequests, 3), f(r.ForwardedRequests, 3), f(r.MismatchedReplies, 3),
		f(r.ControlBytesPerSecond, 0), f(float64(r.CPU.Microseconds())/1000, 0), r.reasons()}
}

// reasons returns the reason codes of the jobs that are not complete, with
// their counts, for example
// "deadline:3 no_target:1".
func (r Row) reasons() string {
	var l []string
	for _, code := range slices.Sorted(maps.Keys(r.Reasons)) {
		l = append(l, fmt.Sprintf("%s:%d", cmp.Or(code, "no_answer"), r.Reasons[code]))
	}
	return strings.Join(l, " ")
}

func writeCSV(path string, rows []Row) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	w := csv.NewWriter(file)
	if err := w.Write(columns); err != nil {
		return err
	}
	for _, r := range rows {
		if err := w.Write(r.fields()); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}

// summary is the mean result of a scenario with one policy over all seeds.
type summary struct {
	p50, p95, p99, goodput, wasted float64
}

// summarise returns the geometric means of the slowdowns, and the arithmetic
// means of goodput and wasted messages per answer. It returns false if no row
// has a complete job.
func summarise(rows []Row, scenario, policy string) (summary, bool) {
	var s summary
	n := 0.0
	for _, r := range rows {
		if r.Scenario != scenario || r.Policy != policy || r.P50 == 0 {
			continue
		}
		n++
		s.p50 += math.Log(r.P50)
		s.p95 += math.Log(r.P95)
		s.p99 += math.Log(r.P99)
		s.goodput += r.Goodput
		s.wasted += r.RefusedAttempts + r.ExtraStarts + r.StopRequests + r.ForwardedRequests + r.MismatchedReplies
	}
	if n == 0 {
		return s, false
	}
	return summary{math.Exp(s.p50 / n), math.Exp(s.p95 / n), math.Exp(s.p99 / n), s.goodput / n, s.wasted / n}, true
}

// printSummary prints a Markdown table that compares the policies.
func printSummary(w io.Writer, rows []Row) {
	fmt.Fprintf(w, "\n| scenario | p50 | p95 | p99 | goodput | wasted per answer | p95 ratio |\n|---|---|---|---|---|---|---|\n")
	for _, sc := range scenarios {
		a, ok := summarise(rows, sc.name, policies[0])
		b, okB := summarise(rows, sc.name, policies[1])
		if !ok || !okB {
			continue
		}
		pair := func(x, y float64, format string) string {
			return strings.ReplaceAll(fmt.Sprintf(format+" / "+format, x, y), "NaN", "-")
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %.2f |\n", sc.name, pair(a.p50, b.p50, "%.2f"), pair(a.p95, b.p95, "%.2f"),
			pair(a.p99, b.p99, "%.2f"), pair(a.goodput, b.goodput, "%.3f"), pair(a.wasted, b.wasted, "%.3f"), a.p95/b.p95)
	}
	fmt.Fprintf(w, "\nEach pair is %s / %s.\n", policies[0], policies[1])
}
