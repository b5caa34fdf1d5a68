package cli

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"citronspread/logbuffer"
)

// newLogger returns a logger that writes each event as one line of key=value pairs.
func newLogger(level string, w io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "cli: log level")
	}
	core := zapcore.NewCore(newEncoder(), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(&shortErrorCore{Core: core}), nil
}

// newBufferedLogger returns a logger with the format of newLogger that never blocks. The caller must close the buffer.
func newBufferedLogger(level string, w io.Writer) (*zap.Logger, *logbuffer.Buffer, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errors.Wrap(err, "cli: log level")
	}
	buffer := logbuffer.New(w)
	return zap.New(&shortErrorCore{Core: buffer.Core(newEncoder(), parsed)}), buffer, nil
}

func newEncoder() zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.EncodeTime = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)
	config.EncodeDuration = zapcore.StringDurationEncoder
	return zaplogfmt.NewEncoder(config)
}

// shortErrorCore logs errors without their stack traces, so that each event is one line.
type shortErrorCore struct {
	zapcore.Core
}

// With returns a core that adds fields to each event.
func (c *shortErrorCore) With(fields []zapcore.Field) zapcore.Core {
	return &shortErrorCore{Core: c.Core.With(shortErrors(fields))}
}

// Check adds the core to checked if the level of the entry is enabled.
func (c *shortErrorCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(e.Level) {
		return checked
	}
	return checked.AddCore(e, c)
}

// Write writes an entry with the short form of its errors.
func (c *shortErrorCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, shortErrors(fields))
}

// shortErrors replaces error fields by string fields with the error's message.
func shortErrors(fields []zapcore.Field) []zapcore.Field {
	short := make([]zapcore.Field, 0, len(fields))
	for _, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		short = append(short, f)
	}
	return short
}
