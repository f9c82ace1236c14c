package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/golden"
)

// Responses of a dispatcher to /members and /leases, as sent over HTTP.
const (
	membersAnswer = `{"name":"n0","life":7,"view":"a1b2","view_number":3,"view_members":2,"quorum":true,"joined":true,"health":1,"members":[` +
		`{"name":"n0","zone":"montreal","state":"alive","since_s":90.25,"in_view":true,"life":7,"address":"127.0.0.1:7400"},` +
		`{"name":"n1","zone":"sherbrooke","state":"suspect","since_s":1.5,"in_view":false,"life":9,"address":"127.0.0.1:7401","draining":true,"accused_by":["n0","n2"]}],` +
		`"counters":{},"dropped":4}`
	leasesAnswer = `{"name":"n0","owner":"n0.1","charter":"c0ffee","ready":true,"open":2,"kept":5,"lost":1,"counters":{"joined":3},"groups":[` +
		`{"group":0,"leads":true,"leader":"n0","term":4,"index":17,"copies":["n0.a","n1.b","n2.c"],"behind":[0,1,2],"lost":1}],"records":[` +
		`{"key":"enrol/k1","group":0,"state":"ended","owner":"n0.1","epoch":2,"attempt":1,"first_ms":1700000000123,"until_ms":1700000005000,"served":true,"result":"x"},` +
		`{"key":"enrol/k2","group":0,"state":"open","owner":"n1.1","epoch":1,"attempt":0,"first_ms":0,"until_ms":1700000006000,"served":false},` +
		`{"key":"enrol/k3","group":0,"state":"ended","owner":"n1.1","epoch":1,"attempt":2,"first_ms":1,"until_ms":2,"served":false}]}`
	noLeasesAnswer = `{"name":"n0","owner":"","charter":"","ready":false,"open":0,"kept":0,"lost":0,"counters":null,"groups":null}`
)

// TestStatusOutput compares what members and leases print for these responses, and the URL that they request, with
// testdata/status.txt.
func TestStatusOutput(t *testing.T) {
	requestedURL := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestedURL = r.URL.String()
		switch {
		case r.URL.Path == "/members":
			fmt.Fprint(w, membersAnswer)
		case r.URL.Query().Get("key") == "enrol/none":
			fmt.Fprint(w, noLeasesAnswer)
		case r.URL.Path == "/status":
			fmt.Fprint(w, `[{"name":"n0"},{"name":"n1"}]`)
		default:
			fmt.Fprint(w, leasesAnswer)
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	var out bytes.Buffer
	for _, words := range []string{"members --from ADDRESS", "members --from ADDRESS --output json", "members --agent ADDRESS n1", "members --agent ADDRESS",
		"leases --from ADDRESS", "leases --from ADDRESS --output json", "leases --from ADDRESS --key enrol/k1", "leases --from ADDRESS --open",
		"leases --agent ADDRESS --key enrol/none n0"} {
		fmt.Fprintf(&out, "== %s ==\n", words)
		if err := run(strings.Fields(strings.ReplaceAll(words, "ADDRESS", address)), &out); err != nil {
			t.Errorf("%s: %v", words, err)
		}
		fmt.Fprintf(&out, "(the last question is %s)\n", requestedURL)
	}
	golden.AssertBytes(t, out.Bytes(), "status.txt")
}
