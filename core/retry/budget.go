// Package retry bounds the retries of failed attempts.
package retry

// Budget is a token bucket for retries that successful attempts refill. It is
// not safe for concurrent use.
type Budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

// New returns a full Budget. It allows ratio retries per successful attempt on
// average, and up to burst retries at once.
func New(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// RecordSuccess adds the share of a token that one successful attempt earns.
func (b *Budget) RecordSuccess() { b.tokens = min(b.tokens+b.ratio, b.burst) }

// Take consumes one token and reports whether one was available.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
