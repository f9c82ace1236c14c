package settings

import "strings"

// Finding is one thing that is wrong in a settings file.
type Finding struct {
	File    string
	Key     string // empty where the file as a whole is wrong
	Problem string
}

// String returns file, key and problem.
func (f Finding) String() string {
	if f.Key == "" {
		return f.File + ": " + f.Problem
	}
	return f.File + ": " + f.Key + ": " + f.Problem
}

// Findings is everything that is wrong in a settings file. It is an error.
type Findings []Finding

// Error implements error.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// collector collects the findings of one file.
type collector struct {
	file  string
	found Findings
}

// add appends a finding.
func (c *collector) add(key, problem string) {
	c.found = append(c.found, Finding{File: c.file, Key: key, Problem: problem})
}
