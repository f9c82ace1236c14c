package configuration

import (
	"bytes"
	"encoding/json"
)

// Equal reports whether two documents have the same JSON value. It ignores the order of members and the spelling of
// numbers (90 equals 90.0). It compares routes and services by name, so their order does not matter either.
func (d *Document) Equal(other *Document) bool {
	if d == nil || other == nil {
		return d == other
	}
	if d == other || bytes.Equal(d.raw, other.raw) {
		return true
	}
	return d.version == other.version &&
		equalItems(d.routes, other.routes) &&
		equalItems(d.services, other.services) &&
		equalMembers(d.members, other.members)
}

// equalItems reports whether two lists hold equal items under the same names, in any order.
func equalItems[Value any](a, b []item[Value]) bool {
	if len(a) != len(b) {
		return false
	}
	byName := make(map[string][]byte, len(b))
	for _, item := range b {
		byName[item.name] = item.raw
	}
	for _, item := range a {
		raw, ok := byName[item.name]
		if !ok || !equalJSON(item.raw, raw) {
			return false
		}
	}
	return true
}

// equalMembers reports whether two lists of top-level members have the same names and equal values. It does not compare
// the values of the members that equalItems compares.
func equalMembers(a, b []member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, member := range a {
		value := findMember(b, member.name)
		if value == nil {
			return false
		}
		if isComparedByName(member.name) {
			continue
		}
		if !equalJSON(member.value, value) {
			return false
		}
	}
	return true
}

// isComparedByName reports whether a top-level member is a list of named items.
func isComparedByName(name string) bool {
	return name == fieldRoutes || name == fieldServices
}

// equalJSON reports whether two JSON texts have the same value.
func equalJSON(a, b []byte) bool {
	return bytes.Equal(a, b) || equalValues(decodeAny(a), decodeAny(b))
}

// decodeAny decodes valid JSON. Numbers become json.Number, which keeps their text.
func decodeAny(text []byte) any {
	var value any
	reader := json.NewDecoder(bytes.NewReader(text))
	reader.UseNumber()
	if err := reader.Decode(&value); err != nil {
		return nil // unreachable: documents are valid JSON
	}
	return value
}

// equalValues reports whether two decoded JSON values are equal.
func equalValues(a, b any) bool {
	switch a := a.(type) {
	case map[string]any:
		b, ok := b.(map[string]any)
		return ok && equalObjects(a, b)
	case []any:
		b, ok := b.([]any)
		return ok && equalArrays(a, b)
	case json.Number:
		b, ok := b.(json.Number)
		return ok && canonicalNumber(a.String()) == canonicalNumber(b.String())
	default:
		return a == b
	}
}

// equalObjects reports whether two objects have the same members.
func equalObjects(a, b map[string]any) bool {
	if len(a) != len(b) {
		return false
	}
	for name, value := range a {
		other, ok := b[name]
		if !ok || !equalValues(value, other) {
			return false
		}
	}
	return true
}

// equalArrays reports whether two arrays have the same elements in the same order.
func equalArrays(a, b []any) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !equalValues(a[i], b[i]) {
			return false
		}
	}
	return true
}
