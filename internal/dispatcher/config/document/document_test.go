package document

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gladepick/internal/dispatcher/config"
	"gladepick/internal/dispatcher/fleetsim"
)

func TestDocumentErrorsNameThePlace(t *testing.T) {
	for text, says := range map[string]string{
		"{\n \"dir\": \"/\",\n \"rotate_mb\": -1}":          "x.json:3:15: key rotate_mb: minimum: got -1",
		"{\"dir\": \"/\", \"rotate\": 3}":                   "x.json:1:24: key rotate: additional properties 'rotate' not allowed",
		"{}":                                                "x.json:1:1: the document: missing property 'dir'",
		"{\"dir\": 7}":                                      "x.json:1:9: key dir: got number, want string",
		"{\"dir\": \"/\",\n\"dir\": \"/tmp\"}":              "x.json:2:1: key dir stands twice",
		"{\"dir\": \"/\"":                                   "the text ends before the document does",
		"{\"dir\": \"/\"}\n{}":                              "x.json:2:1: more stands behind the end",
		"{\"dir\": /}":                                      "x.json:1:9: invalid character '/'",
		"{\"dir\": \"/no/such/directory\"}":                 "x.json: key dir: stat /no/such/directory",
		"{\"dir\": \"" + os.Args[0] + "\"}":                 "is no directory",
		"{\"dir\": \"/\", \"keep_mb\": \"a\", \"salt\": 1}": "key salt: got number, want string",
	} {
		path := filepath.Join(t.TempDir(), "x.json")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := ReadCapture(path); err == nil || !strings.Contains(err.Error(), says) {
			t.Errorf("%s: %v; %q is wanted", text, err, says)
		}
	}
}

// The schemas that are shipped can be used, and say what each key is.
func TestSchemasCompile(t *testing.T) {
	for _, name := range SchemaNames() {
		if _, err := compile(name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Schema("none"); err == nil || !strings.Contains(err.Error(), "capture") {
		t.Errorf("a schema that is none: %v", err)
	}
}

// Descriptions, whole and spoilt, either keep to their schema or are refused with the file's name.
func FuzzDescriptions(f *testing.F) {
	for i, name := range []string{"fleet", "load"} {
		whole, err := os.ReadFile("../../../../deploy/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(i == 0, whole)
		for _, spoil := range []string{":1", ":-1", ":1e999", ":null", ":[]", ":{}", ": \"\\u0000\""} {
			f.Add(i == 0, bytes.Replace(whole, []byte(": "), []byte(spoil+",\"x\": "), 3))
		}
		f.Add(i == 0, whole[:len(whole)/2])
	}
	f.Fuzz(func(t *testing.T, fleet bool, text []byte) {
		schema, into := "load", any(new(fleetsim.Load))
		if fleet {
			schema, into = "fleet", new(fleetsim.Fleet)
		}
		if err := Parse("x.json", text, schema, into); err != nil && !strings.HasPrefix(err.Error(), "x.json:") {
			t.Errorf("%q: %v does not name the file", text, err)
		}
	})
}

func FuzzDocument(f *testing.F) {
	for _, s := range []string{`{"dir":"/"}`, `{"dir":"/","rotate_mb":1e400}`, `[[[[`, `{"a":{"a":[1,{"b":null}]}}`, "\x00", `{"dir":"\ud800"}`, `{"":""}`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var c config.Capture
		if err := Parse("x.json", []byte(text), "capture", &c); err == nil && c.Dir == "" {
			t.Errorf("%q passes without a directory", text)
		} else if err != nil && !strings.HasPrefix(err.Error(), "x.json:") {
			t.Errorf("%q: %v does not name the file", text, err)
		}
	})
}
