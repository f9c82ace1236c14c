package operatorcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// RefusedError is a response that refuses a call for good.
type RefusedError struct {
	Status   int
	Text     string
	Findings []Finding
}

// Finding is one thing that is wrong in what was sent.
type Finding struct {
	Place   string `json:"place,omitempty"`
	Problem string `json:"problem"`
}

// String implements fmt.Stringer.
func (f Finding) String() string {
	if f.Place == "" {
		return f.Problem
	}
	return f.Place + ": " + f.Problem
}

// newRefusedError reads the body of a refusal, which is JSON or plain text.
func newRefusedError(status int, body []byte) *RefusedError {
	var content struct {
		Error    string    `json:"error"`
		Findings []Finding `json:"findings"`
	}
	if err := json.Unmarshal(body, &content); err != nil {
		content.Error = strings.TrimSpace(string(body))
	}
	if content.Error == "" {
		content.Error = strings.ToLower(http.StatusText(status))
	}
	return &RefusedError{Status: status, Text: content.Error, Findings: content.Findings}
}

// Error implements error.
func (e *RefusedError) Error() string {
	lines := []string{strconv.Itoa(e.Status) + ": " + e.Text}
	for _, finding := range e.Findings {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// isRefusal tells whether an error is, or wraps, a *RefusedError.
func isRefusal(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// UnavailableError is a response after which another front, or a later attempt, may succeed.
type UnavailableError struct {
	Address string // of the front
	Status  int
	Text    string // of the body
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Address, e.Status, e.Text)
}

// InvalidFileError is a file that was read and is invalid.
type InvalidFileError struct {
	Path string
	Err  error // tells everything that was found
}

// Error implements error.
func (e *InvalidFileError) Error() string { return e.Path + " is invalid:\n" + e.Err.Error() }

// Unwrap returns the findings.
func (e *InvalidFileError) Unwrap() error { return e.Err }
