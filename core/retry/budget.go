// Package retry bounds the attempts that repeat a failed one.
package retry

// Budget is a token bucket that successful starts fill. It is not safe for
// concurrent use.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// New returns a full Budget that allows one retry for every 1/share successful
// starts, and up to burst retries at once.
func New(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// RecordSuccess notes a successful start.
func (b *Budget) RecordSuccess() { b.tokens = min(b.tokens+b.share, b.burst) }

// Take uses one token, if there is one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
