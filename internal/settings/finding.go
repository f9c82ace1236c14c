package settings

import "strings"

// Finding is one thing that is wrong in a settings file.
type Finding struct {
	File    string // path of the file
	Key     string // with the names of its tables, as in "bounds.grace-s"; empty where the file as a whole is wrong
	Problem string // what is wrong, as in "missing"
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

// collector collects the findings of one file, in the order in which they are found.
type collector struct {
	file  string
	found Findings
}

// add appends a finding.
func (c *collector) add(key, problem string) {
	c.found = append(c.found, Finding{File: c.file, Key: key, Problem: problem})
}
