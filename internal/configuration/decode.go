package configuration

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// jsonNull is the JSON value null, which counts as absent.
const jsonNull = "null"

// decoder ignores fields that this version does not know.
var decoder = protojson.UnmarshalOptions{DiscardUnknown: true}

// decodeMessage decodes a JSON object into a message. It is stricter than protojson, which accepts strings as numbers.
func decodeMessage(value []byte, message proto.Message, path string) Findings {
	if !isKind(value, '{') {
		return Findings{{Path: path, Problem: "must be an object"}}
	}
	if findings := checkMemberTypes(value, message.ProtoReflect().Descriptor(), path); len(findings) > 0 {
		return findings
	}
	if err := decoder.Unmarshal(value, message); err != nil {
		return Findings{{Path: path, Problem: plainText(err)}}
	}
	return checkNotNegative(message.ProtoReflect(), path)
}

// plainText returns a protobuf error's text without the prefix and the no-break spaces that the library adds.
func plainText(err error) string {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	return strings.TrimSpace(strings.TrimPrefix(text, "proto:"))
}

// checkMemberTypes checks the types of a JSON object's members against the fields of a message. It ignores unknown
// members and null.
func checkMemberTypes(object []byte, descriptor protoreflect.MessageDescriptor, path string) Findings {
	var findings Findings
	for _, member := range members(object) {
		field := descriptor.Fields().ByJSONName(member.name)
		if field == nil || string(member.value) == jsonNull {
			continue
		}
		findings = append(findings, checkField(member.value, field, joinPath(path, member.name))...)
	}
	return findings
}

// checkField checks a value against the type of its field, which may be a list.
func checkField(value []byte, field protoreflect.FieldDescriptor, path string) Findings {
	if !field.IsList() {
		return checkValueType(value, field, path)
	}
	if !isKind(value, '[') {
		return Findings{{Path: path, Problem: "must be a list"}}
	}
	var findings Findings
	for i, element := range elements(value) {
		findings = append(findings, checkValueType(element, field, fmt.Sprintf("%s[%d]", path, i))...)
	}
	return findings
}

// checkValueType checks one value, or one element of a list, against the type of its field.
func checkValueType(value []byte, field protoreflect.FieldDescriptor, path string) Findings {
	first := value[0]
	problem := ""
	switch field.Kind() {
	case protoreflect.MessageKind:
		if first == '{' {
			return checkMemberTypes(value, field.Message(), path)
		}
		problem = "must be an object"
	case protoreflect.StringKind:
		if first != '"' {
			problem = "must be a string"
		}
	case protoreflect.BoolKind:
		if first != 't' && first != 'f' {
			problem = "must be true or false"
		}
	default:
		if first != '-' && (first < '0' || first > '9') {
			problem = "must be a number"
		}
	}
	if problem == "" {
		return nil
	}
	return Findings{{Path: path, Problem: problem}}
}

// checkNotNegative reports the fields of a message that hold a negative number.
func checkNotNegative(message protoreflect.Message, path string) Findings {
	var findings Findings
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.IsList() || !message.Has(field) {
			continue
		}
		switch field.Kind() {
		case protoreflect.MessageKind:
			nested := message.Get(field).Message()
			findings = append(findings, checkNotNegative(nested, joinPath(path, field.JSONName()))...)
		case protoreflect.DoubleKind:
			if message.Get(field).Float() < 0 {
				findings.add(joinPath(path, field.JSONName()), "must not be negative")
			}
		}
	}
	return findings
}
