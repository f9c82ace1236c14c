package systemnode

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"

	"gladepick/internal/settings"
)

// Keys of the settings file that take effect while the process runs.
const (
	keySeeds        = "seeds"
	keyCloudAddress = "cloud.address"
)

// keyNode is the key of the process's name.
const keyNode = "node"

// SettingsFile holds the parsed contents of a settings file. It must not be modified.
type SettingsFile struct {
	Path     string
	Settings *settings.Settings
	keys     map[string]any // all values of the file by dotted key
}

// ReadSettings reads and parses a settings file. If the contents are invalid, the error is a settings.Findings that
// lists every problem.
func ReadSettings(path string) (*SettingsFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err, "reading the settings file")
	}
	return parseSettings(path, text)
}

// parseSettings parses the text of the settings file at the given path.
func parseSettings(path string, text []byte) (*SettingsFile, error) {
	read, err := settings.Parse(path, text)
	if err != nil {
		return nil, err
	}
	var values map[string]any
	if _, err := toml.Decode(string(text), &values); err != nil {
		return nil, settings.Findings{{File: path, Problem: err.Error()}}
	}
	keys := map[string]any{}
	flatten(keys, "", values)
	return &SettingsFile{Path: path, Settings: read, keys: keys}, nil
}

// flatten adds the values of a TOML table and of its nested tables to a map, by dotted key.
func flatten(flat map[string]any, prefix string, table map[string]any) {
	for name, value := range table {
		if inner, isTable := value.(map[string]any); isTable {
			flatten(flat, prefix+name+".", inner)
			continue
		}
		flat[prefix+name] = value
	}
}

// differingKeys returns the sorted dotted keys whose values differ between two files. The result is never nil.
func differingKeys(before, after *SettingsFile) []string {
	keys := maps.Clone(before.keys)
	maps.Copy(keys, after.keys)
	differing := []string{}
	for key := range keys {
		if !reflect.DeepEqual(before.keys[key], after.keys[key]) {
			differing = append(differing, key)
		}
	}
	slices.Sort(differing)
	return differing
}

// checkSameMachine returns a settings.Findings error if the node name in a file differs from the name under which
// this process was started.
func checkSameMachine(running *settings.Settings, read *SettingsFile) error {
	if read.Settings.Node == running.Node {
		return nil
	}
	problem := fmt.Sprintf("is %q, but the process was started as %q", read.Settings.Node, running.Node)
	return settings.Findings{{File: read.Path, Key: keyNode, Problem: problem}}
}
