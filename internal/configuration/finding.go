package configuration

import (
	"fmt"
	"strings"
)

// maxFindingsInText is the maximum number of findings in the text of an error. A configuration may hold thousands of
// items, each with findings of its own.
const maxFindingsInText = 50

// Finding is one thing that is wrong in a configuration or an update.
type Finding struct {
	// Path is the location of the problem, as in `routes[3] "r-x" timeout-ms`. It is empty if the text as a whole is
	// wrong.
	Path string
	// Problem says what is wrong, as in "must be above 0".
	Problem string
}

// String returns the path and the problem.
func (f Finding) String() string {
	if f.Path == "" {
		return f.Problem
	}
	return f.Path + ": " + f.Problem
}

// Findings lists everything that is wrong in a configuration or an update. It implements error.
type Findings []Finding

// Error implements error. The text has one finding a line, and at most maxFindingsInText findings.
func (f Findings) Error() string {
	var text strings.Builder
	for i, finding := range f {
		if i == maxFindingsInText {
			fmt.Fprintf(&text, "\nand %d more", len(f)-i)
			break
		}
		if i > 0 {
			text.WriteByte('\n')
		}
		text.WriteString(finding.String())
	}
	return text.String()
}

// add appends a finding.
func (f *Findings) add(path, problem string) {
	*f = append(*f, Finding{Path: path, Problem: problem})
}

// asError returns the findings as an error, or nil if there are none.
func (f Findings) asError() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// joinPath appends a field's name to a path, separated by a space. Either may be empty.
func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	if field == "" {
		return path
	}
	return path + " " + field
}
