// Package scrape fetches the metrics of an entry instance and parses the
// Prometheus text format.
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

const fetchTimeout = 5 * time.Second

// Values maps each series, such as `marigold_attempts_total{outcome="done"}`, to
// its value.
type Values map[string]float64

// Fetch returns the metrics of the instance at a base URL. It returns an error
// if the instance does not respond with status 200 and valid metrics within
// fetchTimeout.
func Fetch(ctx context.Context, baseURL string) (Values, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("fetching metrics: unexpected status %d", resp.StatusCode)
	}
	return parse(resp.Body)
}

func parse(r io.Reader) (Values, error) {
	v := Values{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := lines.Text()
		sep := strings.LastIndexByte(line, ' ')
		if strings.HasPrefix(line, "#") || sep < 0 {
			continue
		}
		n, err := strconv.ParseFloat(line[sep+1:], 64)
		if err != nil {
			return nil, fmt.Errorf("parsing metrics line %q: %w", line, err)
		}
		v[line[:sep]] = n
	}
	return v, lines.Err()
}

// Add adds the values of other to those of v, series by series.
func (v Values) Add(other Values) {
	for k, n := range other {
		v[k] += n
	}
}

// Sum returns the sum of all series of the metric name that have all of the given
// labels, each written as in `outcome="done"`.
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
