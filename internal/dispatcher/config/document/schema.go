package document

import (
	"bytes"
	"embed"
	"fmt"
	"io/fs"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed schemas/*.json
var schemas embed.FS

// SchemaNames returns the names of the embedded schemas, sorted.
func SchemaNames() (names []string) {
	files, _ := fs.Glob(schemas, "schemas/*.json")
	for _, f := range files {
		names = append(names, strings.TrimSuffix(strings.TrimPrefix(f, "schemas/"), ".json"))
	}
	return names
}

// Schema returns the text of an embedded schema.
func Schema(name string) ([]byte, error) {
	text, err := schemas.ReadFile("schemas/" + name + ".json")
	if err != nil {
		return nil, fmt.Errorf("there is no schema %q; there are %s", name, strings.Join(SchemaNames(), ", "))
	}
	return text, nil
}

func compile(name string) (*jsonschema.Schema, error) {
	text, err := Schema(name)
	if err != nil {
		return nil, err
	}
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name+".json", parsed); err != nil {
		return nil, err
	}
	return c.Compile(name + ".json")
}
