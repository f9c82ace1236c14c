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

const keyNode = "node"

// SettingsFile is a settings file as it was read. It must not be changed.
type SettingsFile struct {
	Path     string
	Settings *settings.Settings
	keys     map[string]any // all values of the file by dotted key
}

// ReadSettings reads a settings file. Everything that is wrong in it is returned as one error of the type
// settings.Findings.
func ReadSettings(path string) (*SettingsFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err, "reading the settings file")
	}
	return parseSettings(path, text)
}

// parseSettings reads the text of a settings file, which was read from a path.
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

// flatten puts the values of a table, and of the tables within it, under their dotted keys.
func flatten(into map[string]any, prefix string, table map[string]any) {
	for name, value := range table {
		if inner, isTable := value.(map[string]any); isTable {
			flatten(into, prefix+name+".", inner)
			continue
		}
		into[prefix+name] = value
	}
}

// differingKeys returns the dotted keys whose values differ between two files, sorted. It never returns nil.
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

// checkSameMachine returns an error where a file belongs to another machine than the one as which this process was
// started.
func checkSameMachine(running *settings.Settings, read *SettingsFile) error {
	if read.Settings.Node == running.Node {
		return nil
	}
	problem := fmt.Sprintf("is %q, but the process was started as %q", read.Settings.Node, running.Node)
	return settings.Findings{{File: read.Path, Key: keyNode, Problem: problem}}
}
