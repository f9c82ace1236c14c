package operatorapi

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/gravitational/trace"

	"gladepick/internal/configuration"
)

// Response is the answer to an operator's call.
type Response struct {
	Status int    // HTTP status code
	Body   []byte // JSON
}

// errorBody is the body of a response whose status is not 200.
type errorBody struct {
	Error    string        `json:"error"`
	Findings []findingBody `json:"findings,omitempty"`
}

// findingBody is one problem of a configuration.
type findingBody struct {
	Place   string `json:"place,omitempty"`
	Problem string `json:"problem"`
}

func emptyResponse(status int) Response { return Response{Status: status, Body: []byte("{}")} }

func errorResponse(status int, text string, findings ...findingBody) Response {
	body, err := json.Marshal(errorBody{Error: text, Findings: findings})
	if err != nil {
		return emptyResponse(status)
	}
	return Response{Status: status, Body: body}
}

// invalidResponse returns a response with status 400 that lists all problems of a configuration.
func invalidResponse(err error) Response {
	var found configuration.Findings
	if !errors.As(err, &found) {
		return errorResponse(http.StatusBadRequest, trace.UserMessage(err))
	}
	findings := make([]findingBody, len(found))
	for i, finding := range found {
		findings[i] = findingBody{Place: finding.Path, Problem: finding.Problem}
	}
	return errorResponse(http.StatusBadRequest, "the configuration is invalid", findings...)
}
