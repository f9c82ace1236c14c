package configuration

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Diff returns the changes from document a to document b as text for an operator, one line for each changed item: first
// the top-level members, then the routes, then the services, each sorted by name. Either document may be nil.
func Diff(a, b *Document) []string {
	if a == nil {
		a = &Document{}
	}
	if b == nil {
		b = &Document{}
	}
	var lines []string
	lines = append(lines, diffMembers(a.members, b.members)...)
	lines = append(lines, diffItems("route", a.routes, b.routes)...)
	return append(lines, diffItems("service", a.services, b.services)...)
}

// diffMembers compares the top-level members that are not lists of items.
func diffMembers(a, b []member) []string {
	var lines []string
	before := make(map[string][]byte)
	after := make(map[string][]byte)
	for _, member := range a {
		before[member.name] = member.value
	}
	for _, member := range b {
		after[member.name] = member.value
	}
	for _, name := range unionOfKeys(before, after) {
		if isComparedByName(name) {
			continue
		}
		if change := describeChange(name, before[name], after[name]); change != "" {
			lines = append(lines, change)
		}
	}
	return lines
}

// diffItems compares two lists by the names of their items.
func diffItems[Value any](kind string, a, b []item[Value]) []string {
	var lines []string
	before := rawByName(a)
	after := rawByName(b)
	for _, name := range unionOfKeys(before, after) {
		oldRaw, existed := before[name]
		newRaw, exists := after[name]
		switch {
		case !existed:
			lines = append(lines, fmt.Sprintf("%s %q added", kind, name))
		case !exists:
			lines = append(lines, fmt.Sprintf("%s %q removed", kind, name))
		default:
			if changes := diffFields(oldRaw, newRaw); len(changes) > 0 {
				lines = append(lines, fmt.Sprintf("%s %q changed: %s", kind, name, strings.Join(changes, ", ")))
			}
		}
	}
	return lines
}

// rawByName returns the JSON text of each item by the item's name.
func rawByName[Value any](items []item[Value]) map[string][]byte {
	byName := make(map[string][]byte, len(items))
	for _, item := range items {
		byName[item.name] = item.raw
	}
	return byName
}

// diffFields returns the changes from one JSON object to another, sorted by the names of the members.
func diffFields(a, b []byte) []string {
	var changes []string
	before := valueByName(a)
	after := valueByName(b)
	for _, name := range unionOfKeys(before, after) {
		if change := describeChange(name, before[name], after[name]); change != "" {
			changes = append(changes, change)
		}
	}
	return changes
}

// valueByName returns the values of an object's members.
func valueByName(object []byte) map[string][]byte {
	byName := make(map[string][]byte)
	for _, member := range members(object) {
		byName[member.name] = member.value
	}
	return byName
}

// describeChange returns how a value changed, or "" if it did not. A nil value is absent.
func describeChange(name string, before, after []byte) string {
	switch {
	case before == nil:
		return fmt.Sprintf("%s added: %s", name, after)
	case after == nil:
		return fmt.Sprintf("%s removed: %s", name, before)
	case equalJSON(before, after):
		return ""
	default:
		return fmt.Sprintf("%s %s -> %s", name, before, after)
	}
}

// unionOfKeys returns the keys of both maps, sorted and without duplicates.
func unionOfKeys(a, b map[string][]byte) []string {
	union := make(map[string]bool, len(a)+len(b))
	for name := range a {
		union[name] = true
	}
	for name := range b {
		union[name] = true
	}
	return slices.Sorted(maps.Keys(union))
}
