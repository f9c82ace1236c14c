package settings

import (
	"os"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
)

// EnvironmentVariable is the name of the environment variable that holds the path of the settings file.
const EnvironmentVariable = "GLADEPICK_SETTINGS"

// DefaultPath is the path of the settings file if the environment variable is not set or empty.
const DefaultPath = "/etc/gladepick/node.toml"

// maxPort is the highest TCP port.
const maxPort = 65535

// Path returns the path of the settings file: the value of the environment variable, or DefaultPath.
func Path() string {
	if path := os.Getenv(EnvironmentVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Load reads a settings file. If the content is invalid, the error is of type Findings and lists everything that is
// wrong.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(err, "reading the settings file")
	}
	return Parse(path, text)
}

// Parse reads settings from the text of a settings file. An error is of type Findings; path is used only to name the
// file in them.
func Parse(path string, text []byte) (*Settings, error) {
	var values map[string]any
	if _, err := toml.Decode(string(text), &values); err != nil {
		return nil, Findings{{File: path, Problem: err.Error()}}
	}
	findings := &collector{file: path}
	settings := decodeSettings(section{values: values, findings: findings})
	settings.check(findings)
	if len(findings.found) > 0 {
		return nil, findings.found
	}
	return settings, nil
}

// check reports required keys that are missing and a range of ports that is invalid.
func (s *Settings) check(findings *collector) {
	required := []struct{ key, value string }{
		{"node", s.Node},
		{"ip", s.IP},
		{"zone", s.Zone},
	}
	for _, text := range required {
		if text.value == "" {
			findings.add(text.key, "missing")
		}
	}
	if s.InternalPorts.First < 1 || s.InternalPorts.Last > maxPort || s.InternalPorts.Last < s.InternalPorts.First {
		findings.add("internal-ports", "must be the first and the last of some ports")
	}
}
