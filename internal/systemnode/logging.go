package systemnode

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes entries of at least the given level to standard error, one JSON object per
// line. Each entry names the process. Errors are written as one line of text without a stack trace. Entries have no
// time stamp; the log collector has to add it.
func NewLogger(process string, level zapcore.Level) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.EncoderConfig.TimeKey = zapcore.OmitKey
	config.Level.SetLevel(level)
	logger, err := config.Build(zap.WrapCore(newErrorTextCore))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return logger.With(zap.String("process", process)), nil
}

// errorTextCore is a core that writes errors as one line of text. zap would otherwise add the stack traces of errors
// of package trace.
type errorTextCore struct {
	zapcore.Core
}

func newErrorTextCore(core zapcore.Core) zapcore.Core { return errorTextCore{Core: core} }

// With implements zapcore.Core.
func (c errorTextCore) With(fields []zapcore.Field) zapcore.Core {
	return errorTextCore{Core: c.Core.With(errorsToText(fields))}
}

// Check implements zapcore.Core. It adds this core and not the wrapped one, so that zap calls the Write method below.
func (c errorTextCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c errorTextCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, errorsToText(fields))
}

// errorsToText returns the fields with each error replaced by its text. It copies the slice only if it contains an
// error.
func errorsToText(fields []zapcore.Field) []zapcore.Field {
	if !slices.ContainsFunc(fields, isError) {
		return fields
	}
	replaced := slices.Clone(fields)
	for i, field := range replaced {
		if err, found := field.Interface.(error); found && isError(field) {
			replaced[i] = zap.String(field.Key, ErrorText(err))
		}
	}
	return replaced
}

func isError(field zapcore.Field) bool { return field.Type == zapcore.ErrorType }

// ErrorText returns the message of an error as one line. It joins the lines of a wrapped error, from the outermost
// context to the cause, with ": ". For nil it returns "".
func ErrorText(err error) string {
	var parts []string
	for line := range strings.Lines(trace.UserMessage(err)) {
		if part := strings.TrimSpace(line); part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}
