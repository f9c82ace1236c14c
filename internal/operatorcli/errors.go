package operatorcli

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// RefusedError is the error of a request that a front refused permanently. A retry would be refused again.
type RefusedError struct {
	Status   int
	Text     string // reason of the refusal, from the body of the response
	Findings []Finding
}

// Finding is one problem in the request that was refused. Place is the part of the request with the problem.
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

// newRefusedError returns the error for a response that refuses a request. The body is JSON or plain text. If it
// contains no reason, the error's text is that of the status.
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

// isRefusal reports whether an error is or wraps a *RefusedError.
func isRefusal(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// UnavailableError is the error of a response after which a request to another front or a retry may succeed.
type UnavailableError struct {
	Address string // of the front
	Status  int
	Text    string // of the body
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s answered %d: %s", e.Address, e.Status, e.Text)
}

// InvalidFileError is the error of a file that was read and has invalid contents.
type InvalidFileError struct {
	Path string
	Err  error // lists all problems of the file
}

// Error implements error.
func (e *InvalidFileError) Error() string { return e.Path + " is invalid:\n" + e.Err.Error() }

// Unwrap returns the error that lists the problems.
func (e *InvalidFileError) Unwrap() error { return e.Err }
