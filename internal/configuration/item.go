package configuration

import (
	"fmt"
	"strconv"
)

// Names of JSON members that several functions use.
const (
	fieldVersion  = "version"
	fieldRoutes   = "routes"
	fieldServices = "services"
	fieldLimits   = "limits"
	fieldName     = "name"
)

// item is a route or a service together with the JSON text that the operator sent for it.
type item[Value any] struct {
	name  string
	raw   []byte
	value Value
}

// parseItem decodes and checks one item. The paths of its findings are relative to the item.
type parseItem[Value any] func(raw []byte) (item[Value], Findings)

// itemReader reads the items of one list. It reuses an item of the previous document if the JSON text is the same.
type itemReader[Value any] struct {
	parse    parseItem[Value]
	previous map[string]item[Value] // by their JSON text
}

// newItemReader returns a reader that reuses unchanged items of the previous document's list.
func newItemReader[Value any](parse parseItem[Value], previous []item[Value]) itemReader[Value] {
	known := make(map[string]item[Value], len(previous))
	for _, old := range previous {
		known[string(old.raw)] = old
	}
	return itemReader[Value]{parse: parse, previous: known}
}

// read returns the items of a JSON array. The paths of its findings begin with the array's path.
func (r itemReader[Value]) read(array []byte, path string) ([]item[Value], Findings) {
	if !isKind(array, '[') {
		return nil, Findings{{Path: path, Problem: "must be a list"}}
	}
	values := elements(array)
	items := make([]item[Value], 0, len(values))
	var findings Findings
	for i, raw := range values {
		if old, ok := r.previous[string(raw)]; ok {
			items = append(items, item[Value]{name: old.name, raw: raw, value: old.value})
			continue
		}
		parsed, found := r.parse(raw)
		for _, finding := range found {
			findings.add(joinPath(itemPath(path, i, nameOf(raw)), finding.Path), finding.Problem)
		}
		items = append(items, parsed)
	}
	return items, findings
}

// itemPath returns an item's path, as in `routes[3] "r-x"`.
func itemPath(list string, index int, name string) string {
	path := fmt.Sprintf("%s[%d]", list, index)
	if name == "" {
		return path
	}
	return path + " " + strconv.Quote(name)
}

// nameOf returns the name of an item that may be invalid, or "" if it has no name.
func nameOf(raw []byte) string {
	for _, member := range members(raw) {
		if member.name == fieldName && isKind(member.value, '"') {
			return unquote(member.value)
		}
	}
	return ""
}
