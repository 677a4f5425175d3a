// Package registry collects the metrics of a tally scope and writes them in the
// Prometheus text format. The name of every metric ends in its unit, or in
// "total" for event counters.
package registry

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// Registry holds the reported values of a tally scope. It implements
// tally.CachedStatsReporter.
type Registry struct {
	help   map[string]string
	mu     sync.Mutex
	series map[string]*series
}

// series is a time series, identified by its name and labels.
type series struct {
	name, labels string
	kind         string
	value        atomic.Int64
	gauge        atomic.Uint64
	buckets      []bucket
}

type bucket struct {
	upper float64
	count *atomic.Int64
}

// New returns an empty Registry. help maps the name of each metric to its help
// text.
func New(help map[string]string) *Registry {
	return &Registry{help: help, series: map[string]*series{}}
}

// WriteTo writes all time series, sorted by name and labels. The returned count
// is always 0.
func (r *Registry) WriteTo(w io.Writer) (int64, error) {
	r.mu.Lock()
	all := make([]*series, 0, len(r.series))
	for _, s := range r.series {
		all = append(all, s)
	}
	r.mu.Unlock()
	slices.SortFunc(all, func(a, b *series) int {
		return strings.Compare(a.name+a.labels, b.name+b.labels)
	})
	buf := bufio.NewWriter(w)
	last := ""
	for _, s := range all {
		if s.name != last {
			fmt.Fprintf(buf, "# HELP %s %s\n# TYPE %s %s\n", s.name, r.help[s.name], s.name, s.kind)
			last = s.name
		}
		s.write(buf)
	}
	return 0, buf.Flush()
}

func (s *series) write(w io.Writer) {
	switch s.kind {
	case "counter":
		fmt.Fprintf(w, "%s%s %d\n", s.name, formatLabels(s.labels), s.value.Load())
	case "gauge":
		fmt.Fprintf(w, "%s%s %g\n", s.name, formatLabels(s.labels), math.Float64frombits(s.gauge.Load()))
	case "histogram":
		total := int64(0)
		for _, b := range s.buckets {
			total += b.count.Load()
			bound := fmt.Sprintf("%g", b.upper)
			if b.upper > 1e9 {
				bound = "+Inf"
			}
			fmt.Fprintf(w, "%s_bucket%s %d\n", s.name, formatLabels(joinLabels(s.labels, `le="`+bound+`"`)), total)
		}
		fmt.Fprintf(w, "%s_count%s %d\n", s.name, formatLabels(s.labels), total)
	default:
		panic("registry: unknown kind " + s.kind)
	}
}

func formatLabels(labels string) string {
	if labels == "" {
		return ""
	}
	return "{" + labels + "}"
}

func joinLabels(a, b string) string {
	if a == "" {
		return b
	}
	return a + "," + b
}

func (r *Registry) getOrCreate(name, kind string, tags map[string]string) *series {
	keys := make([]string, 0, len(tags))
	for k, v := range tags {
		keys = append(keys, fmt.Sprintf("%s=%q", k, v))
	}
	slices.Sort(keys)
	labels := strings.Join(keys, ",")
	r.mu.Lock()
	defer r.mu.Unlock()
	id := name + formatLabels(labels)
	s, ok := r.series[id]
	if !ok {
		s = &series{name: name, labels: labels, kind: kind}
		r.series[id] = s
	}
	return s
}

// AllocateCounter implements tally.CachedStatsReporter.
func (r *Registry) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return r.getOrCreate(name, "counter", tags)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (r *Registry) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return r.getOrCreate(name, "gauge", tags)
}

// AllocateTimer implements tally.CachedStatsReporter. It panics, because
// durations are recorded as histograms, which also show their distribution.
func (r *Registry) AllocateTimer(string, map[string]string) tally.CachedTimer {
	panic("registry: timers are not used")
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (r *Registry) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return r.getOrCreate(name, "histogram", tags)
}

// Capabilities implements tally.BaseStatsReporter.
func (r *Registry) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *Registry) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *Registry) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter.
func (r *Registry) Flush() {}

// ReportCount implements tally.CachedCount.
func (s *series) ReportCount(value int64) { s.value.Add(value) }

// ReportGauge implements tally.CachedGauge.
func (s *series) ReportGauge(value float64) { s.gauge.Store(math.Float64bits(value)) }

// ValueBucket implements tally.CachedHistogram.
func (s *series) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	count := new(atomic.Int64)
	s.buckets = append(s.buckets, bucket{upper: upper, count: count})
	return bucketCounter{count}
}

// DurationBucket implements tally.CachedHistogram.
func (s *series) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	return s.ValueBucket(0, upper.Seconds())
}

type bucketCounter struct{ count *atomic.Int64 }

// ReportSamples implements tally.CachedHistogramBucket.
func (c bucketCounter) ReportSamples(n int64) { c.count.Add(n) }
