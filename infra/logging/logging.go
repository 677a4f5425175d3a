// Package logging builds the loggers of the programs. Every part of a program
// logs under its own fixed prefix, in short sentences.
package logging

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Of the lines with the same sentence within a second, the first firstLines
// are written and the rest are counted, so that a failure that meets every
// request does not slow the instance down further.
const (
	firstLines  = 10
	countPeriod = time.Second
)

// New returns a logger that writes lines of time, level, prefix, sentence and
// fields to w. The level is debug, info, warn or error; empty means info.
// Logging never waits for w: lines for which its ring has no room are counted.
func New(w io.Writer, level string) (*zap.Logger, error) {
	return NewLimited(w, level, firstLines)
}

// NewLimited is New with another bound on the lines of a sentence in a second.
// It is for lines that each tell of a different request.
func NewLimited(w io.Writer, level string, lines int) (*zap.Logger, error) {
	lv := zapcore.InfoLevel
	if level != "" {
		var err error
		if lv, err = zapcore.ParseLevel(level); err != nil {
			return nil, err
		}
	}
	enc := zap.NewProductionEncoderConfig()
	enc.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	enc.EncodeLevel = zapcore.LowercaseLevelEncoder
	enc.EncodeDuration = zapcore.StringDurationEncoder
	enc.ConsoleSeparator = " "
	enc.EncodeName = func(name string, out zapcore.PrimitiveArrayEncoder) { out.AppendString(name + ":") }
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(enc), newRing(w), lv)
	left := &leftOut{core: core, counts: map[string]int{}}
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, lines, 0, zapcore.SamplerHook(left.hook))), nil
}

// ForComponent returns the logger of one part of a program, with the part's name as
// the fixed prefix of its lines.
func ForComponent(l *zap.Logger, name string) *zap.Logger {
	return l.Named(name)
}

// leftOut counts the lines that the sampler drops, and writes a line with the
// sum for each sentence once a period.
type leftOut struct {
	core   zapcore.Core
	mu     sync.Mutex
	counts map[string]int
}

func (l *leftOut) hook(e zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.counts) == 0 {
		time.AfterFunc(countPeriod, l.write)
	}
	l.counts[e.Message]++
}

func (l *leftOut) write() {
	l.mu.Lock()
	counts := l.counts
	l.counts = map[string]int{}
	l.mu.Unlock()
	for sentence, n := range counts {
		e := zapcore.Entry{Level: zapcore.InfoLevel, Time: time.Now(), LoggerName: "logging", Message: "Lines were left out."}
		// A writer that fails cannot be told so.
		_ = l.core.Write(e, []zapcore.Field{zap.String("sentence", sentence), zap.Int("lines", n)})
	}
}
