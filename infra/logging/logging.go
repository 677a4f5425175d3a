// Package logging creates the loggers of the programs. Each component of a
// program logs short sentences under its own fixed prefix.
package logging

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxLinesPerSecond is the number of lines with the same sentence that are
	// written per second. Further ones are dropped and counted, so that a
	// failure of every request does not slow the instance down further.
	maxLinesPerSecond = 10
	// reportPeriod is the time from the first dropped line to the report of
	// the number of dropped lines.
	reportPeriod = time.Second
)

// New returns a logger that writes lines of time, level, prefix, sentence and
// fields to w. The level is debug, info, warn or error; empty means info. It
// returns an error for any other level. Logging never waits for w: lines that
// exceed the buffer are dropped and counted.
func New(w io.Writer, level string) (*zap.Logger, error) {
	return NewLimited(w, level, maxLinesPerSecond)
}

// NewLimited is like New, but writes up to the given number of lines with the
// same sentence per second. It is meant for logs in which each line describes a
// different request.
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
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(enc), newAsyncWriter(w), lv)
	dropped := &droppedCounter{core: core, counts: map[string]int{}}
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, lines, 0, zapcore.SamplerHook(dropped.count))), nil
}

// ForComponent returns a logger for the named component of a program. The name
// is the prefix of its lines.
func ForComponent(l *zap.Logger, name string) *zap.Logger {
	return l.Named(name)
}

// droppedCounter counts the lines that the sampler drops. Once per reportPeriod,
// it logs the number of dropped lines of each sentence.
type droppedCounter struct {
	core   zapcore.Core
	mu     sync.Mutex
	counts map[string]int
}

func (c *droppedCounter) count(e zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.counts) == 0 {
		time.AfterFunc(reportPeriod, c.report)
	}
	c.counts[e.Message]++
}

func (c *droppedCounter) report() {
	c.mu.Lock()
	counts := c.counts
	c.counts = map[string]int{}
	c.mu.Unlock()
	for sentence, n := range counts {
		e := zapcore.Entry{Level: zapcore.InfoLevel, Time: time.Now(), LoggerName: "logging", Message: "Repeated lines were dropped."}
		// An error of the log writer cannot be reported anywhere else.
		_ = c.core.Write(e, []zapcore.Field{zap.String("sentence", sentence), zap.Int("lines", n)})
	}
}
