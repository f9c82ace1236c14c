package settings

import "strings"

// Finding is one thing that is wrong in a settings file.
type Finding struct {
	File    string // path of the settings file
	Key     string // with the name of its table, as in "bounds.grace-s"; empty if the file as a whole is wrong
	Problem string // description, as in "missing"
}

// String returns the file, the key (if any) and the problem.
func (f Finding) String() string {
	if f.Key == "" {
		return f.File + ": " + f.Problem
	}
	return f.File + ": " + f.Key + ": " + f.Problem
}

// Findings lists everything that is wrong in a settings file. It implements error.
type Findings []Finding

// Error implements error. The text has one finding a line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// collector collects the findings of one file in the order in which they are reported.
type collector struct {
	file  string
	found Findings
}

// add appends a finding.
func (c *collector) add(key, problem string) {
	c.found = append(c.found, Finding{File: c.file, Key: key, Problem: problem})
}
