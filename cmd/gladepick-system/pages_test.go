package main

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	docsFolder     = "../../docs"
	internalFolder = "../../internal"
	metricsFiles   = internalFolder + "/systemnode/demo/testdata/metrics*.golden"
)

// operatorsPages are the pages of the handbook that mention commands, metrics and log messages.
var operatorsPages = []string{"operating.md", "on-call.md"}

var (
	metricName  = regexp.MustCompile(`gladepick_[a-z_]+[a-z]`)
	commandLine = regexp.MustCompile(`gladepick-system ([a-z]+)( [a-z]+)?`)
	logMessage  = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (?:debug|info|warn|error) \\|")
)

func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(docsFolder, name))
	assert.NilError(t, err)
	return string(text)
}

func TestPagesNameRealMetrics(t *testing.T) {
	files, err := filepath.Glob(metricsFiles)
	assert.NilError(t, err)
	var known []byte
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		known = append(known, text...)
	}
	for _, page := range operatorsPages {
		names := metricName.FindAllString(readPage(t, page), -1)
		assert.Assert(t, len(names) > 0, page)
		for _, name := range names {
			assert.Assert(t, bytes.Contains(known, []byte("# TYPE "+name+" ")), "%s: %s", page, name)
		}
	}
}

func TestPagesNameRealCommands(t *testing.T) {
	var names []string
	for _, command := range newProgram(&bytes.Buffer{}, nil).application.Model().FlattenedCommands() {
		names = append(names, command.FullCommand)
	}
	for _, page := range operatorsPages {
		lines := commandLine.FindAllStringSubmatch(readPage(t, page), -1)
		assert.Assert(t, len(lines) > 0, page)
		for _, line := range lines {
			known := slices.Contains(names, line[1]) || slices.Contains(names, line[1]+line[2])
			assert.Assert(t, known, "%s: %s", page, line[0])
		}
	}
}

// TestPagesNameRealLogMessages checks that the code contains each message in a page's table of log messages.
func TestPagesNameRealLogMessages(t *testing.T) {
	var code strings.Builder
	err := filepath.WalkDir(internalFolder, func(name string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		text, err := os.ReadFile(name)
		code.Write(text)
		return err
	})
	assert.NilError(t, err)
	messages := logMessage.FindAllStringSubmatch(readPage(t, "operating.md"), -1)
	assert.Assert(t, len(messages) > 0)
	for _, message := range messages {
		assert.Assert(t, strings.Contains(code.String(), `"`+message[1]+`"`), message[1])
	}
}
