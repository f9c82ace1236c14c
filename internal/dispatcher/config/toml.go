package config

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/BurntSushi/toml"
)

// decodeTOML reads an operator's file. An unknown key is an error that names the key.
func decodeTOML(path string, target any) error {
	meta, err := toml.DecodeFile(path, target)
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			return fmt.Errorf("%s: key %s: %s", path, parse.LastKey, parse.Error())
		}
		return fmt.Errorf("%s: %w", path, err)
	}
	if extra := meta.Undecoded(); len(extra) > 0 {
		return fmt.Errorf("%s: key %s is unknown", path, extra[0])
	}
	return nil
}

// section is a table of an operator's file; its errors name the file and the key.
type section struct {
	path string
	name string // of the table; empty: the top level of the file
}

// errorf returns an error about a key of the section.
func (s section) errorf(key, format string, v ...any) error {
	if s.name != "" {
		key = s.name + "." + key
	}
	return fmt.Errorf("%s: key %s: %s", s.path, key, fmt.Sprintf(format, v...))
}

// Peer is the name and address of another dispatcher.
type Peer struct {
	Name    string // empty: unknown
	Address netip.AddrPort
}

// namedPeer is the entry of another dispatcher in an operator's file.
type namedPeer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}
