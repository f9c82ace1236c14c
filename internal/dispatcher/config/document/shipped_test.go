package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/golden"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/fleetsim"
)

// testdata/shipped.json holds the values that are read from the shipped documents, encoded as JSON again.
func TestShippedDocumentsKeepTheirValues(t *testing.T) {
	var out bytes.Buffer
	for _, name := range []string{"fleet", "load", "capture"} {
		target := map[string]any{"fleet": new(fleetsim.Fleet), "load": new(fleetsim.Load), "capture": new(config.Capture)}[name]
		if err := Read("../../../../deploy/"+name+".json", name, target); err != nil {
			t.Fatal(err)
		}
		text, err := json.MarshalIndent(target, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&out, "%s\n", text)
	}
	golden.AssertBytes(t, out.Bytes(), "shipped.json")
}

// testdata/defaults.json holds a recorder's settings when the operator sets only the directory.
func TestCaptureDefaults(t *testing.T) {
	path := t.TempDir() + "/capture.json"
	if err := os.WriteFile(path, []byte(`{"dir":"/"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := ReadCapture(path)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	golden.AssertBytes(t, append(text, '\n'), "defaults.json")
}
