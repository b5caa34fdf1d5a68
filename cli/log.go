package cli

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// newLogger returns a logger of one line of key=value pairs for each event.
func newLogger(level string, w io.Writer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "cli: log level")
	}
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.EncodeTime = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}
