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

func TestDocumentErrorsNameLineColumnAndKey(t *testing.T) {
	for text, want := range map[string]string{
		"{\n \"dir\": \"/\",\n \"rotate_mb\": -1}":          "x.json:3:15: key rotate_mb: minimum: got -1",
		"{\"dir\": \"/\", \"rotate\": 3}":                   "x.json:1:24: key rotate: additional properties 'rotate' not allowed",
		"{}":                                                "x.json:1:1: the document: missing property 'dir'",
		"{\"dir\": 7}":                                      "x.json:1:9: key dir: got number, want string",
		"{\"dir\": \"/\",\n\"dir\": \"/tmp\"}":              "x.json:2:1: key dir appears twice",
		"{\"dir\": \"/\"":                                   "the text ends before the document does",
		"{\"dir\": \"/\"}\n{}":                              "x.json:2:1: unexpected data after the end",
		"{\"dir\": /}":                                      "x.json:1:9: invalid character '/'",
		"{\"dir\": \"/no/such/directory\"}":                 "x.json: key dir: stat /no/such/directory",
		"{\"dir\": \"" + os.Args[0] + "\"}":                 "is not a directory",
		"{\"dir\": \"/\", \"keep_mb\": \"a\", \"salt\": 1}": "key salt: got number, want string",
	} {
		path := filepath.Join(t.TempDir(), "x.json")
		os.WriteFile(path, []byte(text), 0o600)
		if _, err := ReadCapture(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %q", text, err, want)
		}
	}
}

// Each embedded schema compiles, and an unknown name is an error that lists the schemas.
func TestSchemasCompile(t *testing.T) {
	for _, name := range SchemaNames() {
		if _, err := compile(name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Schema("none"); err == nil || !strings.Contains(err.Error(), "capture") {
		t.Errorf("unknown schema: got %v, want an error that names capture", err)
	}
}

// A fleet or load document, valid or corrupted, either matches its schema or gives an error that begins with the file
// name.
func FuzzFleetAndLoadDocuments(f *testing.F) {
	for i, name := range []string{"fleet", "load"} {
		document, err := os.ReadFile("../../../../deploy/" + name + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(i == 0, document)
		for _, corruption := range []string{":1", ":-1", ":1e999", ":null", ":[]", ":{}", ": \"\\u0000\""} {
			f.Add(i == 0, bytes.Replace(document, []byte(": "), []byte(corruption+",\"x\": "), 3))
		}
		f.Add(i == 0, document[:len(document)/2])
	}
	f.Fuzz(func(t *testing.T, fleet bool, text []byte) {
		schema, target := "load", any(new(fleetsim.Load))
		if fleet {
			schema, target = "fleet", new(fleetsim.Fleet)
		}
		if err := Parse("x.json", text, schema, target); err != nil && !strings.HasPrefix(err.Error(), "x.json:") {
			t.Errorf("%q: error %v does not name the file", text, err)
		}
	})
}

// A corrupted document neither passes without its required key nor gives an error without the file name.
func FuzzDocument(f *testing.F) {
	for _, s := range []string{`{"dir":"/"}`, `{"dir":"/","rotate_mb":1e400}`, `[[[[`, `{"a":{"a":[1,{"b":null}]}}`, "\x00", `{"dir":"\ud800"}`, `{"":""}`} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var c config.Capture
		if err := Parse("x.json", []byte(text), "capture", &c); err == nil && c.Dir == "" {
			t.Errorf("%q is accepted without dir", text)
		} else if err != nil && !strings.HasPrefix(err.Error(), "x.json:") {
			t.Errorf("%q: error %v does not name the file", text, err)
		}
	})
}
