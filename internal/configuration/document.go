// Package configuration holds the operator's configuration: reading and checking it, applying updates to it, and the
// table of routes and services that a process makes of it.
//
// A document keeps the bytes that the operator sent, so that everything comes back as it was sent, also the fields that
// this version does not know.
package configuration

import (
	"bytes"
	"sync"

	"gladepick/internal/configuration/configurationpb"
)

//go:generate protoc --go_out=. --go_opt=paths=source_relative configurationpb/configuration.proto

// Document is a complete configuration that has been checked. It is immutable.
type Document struct {
	raw      []byte
	members  []member // the top-level members of raw in their order
	version  uint64
	limits   Limits
	routes   []item[*Route]
	services []item[*Service]
	table    func() *Table
}

// Parse reads a complete configuration. An error is of the type Findings, and tells everything that is wrong.
func Parse(raw []byte) (*Document, error) {
	return ParseAfter(nil, raw)
}

// ParseAfter is Parse, but takes the items that have not changed from an earlier document, which may be nil. This is
// several times faster where most have not.
func ParseAfter(previous *Document, raw []byte) (*Document, error) {
	if err := checkSyntax(raw); err != nil {
		return nil, Findings{{Problem: err.Error()}}
	}
	if previous == nil {
		previous = &Document{}
	}
	raw = bytes.Clone(raw)
	if !isKind(raw, '{') {
		return nil, Findings{{Problem: "must be an object"}}
	}
	document := &Document{raw: raw, members: members(raw)}
	findings := document.read(previous)
	findings = append(findings, document.check()...)
	if err := findings.asError(); err != nil {
		return nil, err
	}
	return document.finish(), nil
}

// read fills a document from its top-level members.
func (d *Document) read(previous *Document) Findings {
	findings := checkDuplicates(d.members)
	header, found := readHeader(d.members)
	findings = append(findings, found...)
	d.version = header.GetVersion()
	d.limits = newLimits(header.Limits)

	routes, found := newItemReader(parseRoute, previous.routes).read(find(d.members, fieldRoutes), fieldRoutes)
	findings = append(findings, found...)
	services, found := newItemReader(parseService, previous.services).read(find(d.members, fieldServices), fieldServices)
	findings = append(findings, found...)
	d.routes = routes
	d.services = services
	return findings
}

// finish completes a document that has been checked.
func (d *Document) finish() *Document {
	d.table = sync.OnceValue(func() *Table { return newTable(d) })
	return d
}

// find returns the value of a member, or nil.
func find(members []member, name string) []byte {
	for _, member := range members {
		if member.name == name {
			return member.value
		}
	}
	return nil
}

// checkDuplicates finds members that stand twice.
func checkDuplicates(members []member) Findings {
	var findings Findings
	seen := make(map[string]bool, len(members))
	for _, member := range members {
		if seen[member.name] {
			findings.add(member.name, "stands twice")
		}
		seen[member.name] = true
	}
	return findings
}

// readHeader reads the members that are not lists of items.
func readHeader(members []member) (*configurationpb.Header, Findings) {
	text := []byte{'{'}
	for _, name := range []string{fieldVersion, fieldLimits} {
		value := find(members, name)
		if value == nil {
			continue
		}
		if len(text) > 1 {
			text = append(text, ',')
		}
		text = appendMember(text, quote(name), value)
	}
	text = append(text, '}')

	header := &configurationpb.Header{}
	findings := decode(text, header, "")
	if len(findings) == 0 && header.GetVersion() == 0 {
		findings.add(fieldVersion, "must be above 0")
	}
	return header, findings
}

// quote returns a name of the wire as a JSON string.
func quote(name string) []byte {
	return []byte(`"` + name + `"`)
}

// appendMember writes a member of an object.
func appendMember(text, key, value []byte) []byte {
	text = append(text, key...)
	text = append(text, ':')
	return append(text, value...)
}

// Version returns the version that the operator gave. It is 0 for nil, which stands for no configuration.
func (d *Document) Version() uint64 {
	if d == nil {
		return 0
	}
	return d.version
}

// JSON returns the whole configuration, and nil for nil. The bytes must not be changed.
func (d *Document) JSON() []byte {
	if d == nil {
		return nil
	}
	return d.raw
}

// Table returns the table of routes and services. It is made at the first call. The table of nil matches nothing.
func (d *Document) Table() *Table {
	if d == nil {
		return emptyTable
	}
	return d.table()
}
