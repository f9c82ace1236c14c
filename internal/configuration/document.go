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
	routes   []item[*Route]   // in the order of raw
	services []item[*Service] // in the order of raw
	table    func() *Table    // makes the table at the first call
}

// Parse reads a complete configuration. An error is of the type Findings, and has everything that is wrong.
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
	findings := document.readMembers(previous)
	findings = append(findings, document.checkItems()...)
	if err := findings.asError(); err != nil {
		return nil, err
	}
	return document.withTable(), nil
}

// readMembers fills a document from its top-level members.
func (d *Document) readMembers(previous *Document) Findings {
	findings := checkUniqueMembers(d.members)
	header, found := readHeader(d.members)
	findings = append(findings, found...)
	d.version = header.GetVersion()
	d.limits = newLimits(header.Limits)

	routes, found := newItemReader(parseRoute, previous.routes).read(findMember(d.members, fieldRoutes), fieldRoutes)
	findings = append(findings, found...)
	services, found := newItemReader(parseService, previous.services).read(findMember(d.members, fieldServices), fieldServices)
	findings = append(findings, found...)
	d.routes = routes
	d.services = services
	return findings
}

// withTable completes a document that has been checked.
func (d *Document) withTable() *Document {
	d.table = sync.OnceValue(func() *Table { return newTable(d) })
	return d
}

// findMember returns the value of a member, or nil.
func findMember(members []member, name string) []byte {
	for _, member := range members {
		if member.name == name {
			return member.value
		}
	}
	return nil
}

// checkUniqueMembers finds members whose name occurs twice.
func checkUniqueMembers(members []member) Findings {
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
		value := findMember(members, name)
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
	findings := decodeMessage(text, header, "")
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
