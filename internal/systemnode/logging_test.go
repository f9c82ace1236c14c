package systemnode

import (
	"bytes"
	"errors"
	"testing"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// newTestLogger returns a logger that writes entries without a time stamp to out.
func newTestLogger(out *bytes.Buffer) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = zapcore.OmitKey
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), zapcore.AddSync(out), zap.InfoLevel)
	return zap.New(newErrorTextCore(core))
}

func TestErrorsAreLoggedAsOneLine(t *testing.T) {
	var out bytes.Buffer
	logger := newTestLogger(&out)
	cause := trace.Wrap(errors.New("refused"), "dialing 10.0.0.1:7000")
	logger.Warn("call failed", zap.String("process", "front-1"), zap.Error(trace.Wrap(cause, "asking")))
	assert.Equal(t, out.String(), `{"level":"warn","msg":"call failed","process":"front-1",`+
		`"error":"asking: dialing 10.0.0.1:7000: refused"}`+"\n")
}

func TestErrorsInContextFieldsAreLoggedAsOneLine(t *testing.T) {
	var out bytes.Buffer
	logger := newTestLogger(&out).With(zap.Error(trace.BadParameter("wrong")))
	logger.Info("on")
	logger.Debug("off")
	assert.Equal(t, out.String(), `{"level":"info","msg":"on","error":"wrong"}`+"\n")
}

func TestErrorTextJoinsLinesWithColons(t *testing.T) {
	cases := []struct {
		err  error
		text string
	}{
		{nil, ""},
		{errors.New("plain"), "plain"},
		{errors.Join(errors.New("one"), errors.New("two")), "one: two"},
		{trace.Wrap(trace.Wrap(errors.New("cause"), "inner"), "outer"), "outer: inner: cause"},
	}
	for _, test := range cases {
		assert.Equal(t, ErrorText(test.err), test.text)
	}
}
