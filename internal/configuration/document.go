package configuration

import (
	"bytes"
	"sync"

	"gladepick/internal/configuration/configurationpb"
)

//go:generate protoc --go_out=. --go_opt=paths=source_relative configurationpb/configuration.proto

// Document is a complete, valid configuration. It is immutable.
type Document struct {
	raw      []byte
	members  []member // the top-level members of raw, in the order of raw
	version  uint64
	limits   Limits
	routes   []item[*Route]   // in the order of raw
	services []item[*Service] // in the order of raw
	table    func() *Table    // builds the table at the first call
}

// Parse reads a complete configuration. An error is of type Findings and lists everything that is wrong.
func Parse(raw []byte) (*Document, error) {
	return ParseAfter(nil, raw)
}

// ParseAfter is like Parse, but reuses the unchanged items of an earlier document, which may be nil. If most items are
// unchanged, this is several times faster than Parse.
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

// readMembers sets the document's fields from its top-level members and returns the findings within each member.
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

// withTable makes the table of a checked document available and returns the document.
func (d *Document) withTable() *Document {
	d.table = sync.OnceValue(func() *Table { return newTable(d) })
	return d
}

// findMember returns the value of the first member with the name, or nil if there is none.
func findMember(members []member, name string) []byte {
	for _, member := range members {
		if member.name == name {
			return member.value
		}
	}
	return nil
}

// checkUniqueMembers reports members whose name occurs more than once.
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

// readHeader decodes the members that are not lists of items: the version and the limits.
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

// quote returns a member's name as a JSON string. The name must not need escaping.
func quote(name string) []byte {
	return []byte(`"` + name + `"`)
}

// appendMember appends a member of an object to the text.
func appendMember(text, key, value []byte) []byte {
	text = append(text, key...)
	text = append(text, ':')
	return append(text, value...)
}

// Version returns the version that the operator gave. It is 0 for a nil Document, which means no configuration.
func (d *Document) Version() uint64 {
	if d == nil {
		return 0
	}
	return d.version
}

// JSON returns the whole configuration as the operator sent it, or nil for a nil Document. The caller must not change
// the bytes.
func (d *Document) JSON() []byte {
	if d == nil {
		return nil
	}
	return d.raw
}

// Table returns the table of routes and services. The first call builds it. The table of a nil Document matches
// nothing.
func (d *Document) Table() *Table {
	if d == nil {
		return emptyTable
	}
	return d.table()
}
