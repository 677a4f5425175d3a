// Package logging builds the loggers of the programs. Every part of a program
// logs under its own fixed prefix, in short sentences.
package logging

import (
	"io"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Of the lines with the same sentence within a second, the first firstLines
// and then one of everyLine are written, so that a failure that meets every
// request does not slow the instance down further.
const (
	firstLines = 20
	everyLine  = 100
)

// New returns a logger that writes lines of time, level, prefix, sentence and
// fields to w. The level is debug, info, warn or error; empty means info.
func New(w io.Writer, level string) (*zap.Logger, error) {
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
	core := zapcore.NewCore(zapcore.NewConsoleEncoder(enc), zapcore.Lock(zapcore.AddSync(w)), lv)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, firstLines, everyLine)), nil
}

// Part returns the logger of one part of a program, with the part's name as
// the fixed prefix of its lines.
func Part(l *zap.Logger, name string) *zap.Logger {
	return l.Named(name)
}
