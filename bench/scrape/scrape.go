// Package scrape reads the metrics of an entry instance in the Prometheus
// text format.
package scrape

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const timeout = 5 * time.Second

// Values holds one value per series, such as `marigold_attempts_total{outcome="done"}`.
type Values map[string]float64

// Fetch reads the metrics of the instance at a base URL.
func Fetch(ctx context.Context, base string) (Values, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("metrics: status %d", w.StatusCode)
	}
	return parse(w.Body)
}

func parse(r io.Reader) (Values, error) {
	v := Values{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		at := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || at < 0 {
			continue
		}
		n, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			return nil, fmt.Errorf("metrics: %q: %w", line, err)
		}
		v[line[:at]] = n
	}
	return v, lines.Err()
}

// Add adds other to v.
func (v Values) Add(other Values) {
	for k, n := range other {
		v[k] += n
	}
}

// Sum returns the sum of all series of a name whose labels contain each of the
// given ones, for example `outcome="done"`.
func (v Values) Sum(name string, labels ...string) float64 {
	var total float64
series:
	for k, n := range v {
		if k != name && !strings.HasPrefix(k, name+"{") {
			continue
		}
		for _, l := range labels {
			if !strings.Contains(k, l) {
				continue series
			}
		}
		total += n
	}
	return total
}
