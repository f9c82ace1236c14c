package systemnode

import (
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes JSON lines of at least a level to standard error. Each line names the
// process, and has each error as one line of text without a stack trace. Lines carry no time; what
// collects the logs has to add it.
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

// errorTextCore is a core that writes errors as one line of text. Errors of package trace would otherwise bring
// their stack traces.
type errorTextCore struct {
	zapcore.Core
}

func newErrorTextCore(core zapcore.Core) zapcore.Core { return errorTextCore{Core: core} }

// With implements zapcore.Core.
func (c errorTextCore) With(fields []zapcore.Field) zapcore.Core {
	return errorTextCore{Core: c.Core.With(textOfErrors(fields))}
}

// Check implements zapcore.Core. It adds this core, so that Write here is called.
func (c errorTextCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(entry.Level) {
		return checked.AddCore(entry, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c errorTextCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(entry, textOfErrors(fields))
}

// textOfErrors returns the fields with text in place of errors. It copies only where there are errors.
func textOfErrors(fields []zapcore.Field) []zapcore.Field {
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

// ErrorText returns the message of an error on one line. The lines of a wrapped error, from the outermost context
// to the cause, are joined by colons. It returns an empty text for nil.
func ErrorText(err error) string {
	var parts []string
	for line := range strings.Lines(trace.UserMessage(err)) {
		if part := strings.TrimSpace(line); part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ": ")
}
