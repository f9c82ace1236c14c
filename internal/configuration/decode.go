package configuration

import (
	"fmt"
	"math"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// jsonNull is the value that counts as absent.
const jsonNull = "null"

// decoder ignores fields that this version does not know.
var decoder = protojson.UnmarshalOptions{DiscardUnknown: true}

// decode reads a JSON object into a message. It is stricter than protojson, which takes strings for numbers.
func decode(value []byte, message proto.Message, place string) Findings {
	if !isKind(value, '{') {
		return Findings{{Path: place, Problem: "must be an object"}}
	}
	if findings := checkTypes(value, message.ProtoReflect().Descriptor(), place); len(findings) > 0 {
		return findings
	}
	if err := decoder.Unmarshal(value, message); err != nil {
		return Findings{{Path: place, Problem: plainText(err)}}
	}
	return checkFigures(message.ProtoReflect(), place)
}

// plainText removes the prefix and the no-break spaces that the protobuf library puts into its errors.
func plainText(err error) string {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	return strings.TrimSpace(strings.TrimPrefix(text, "proto:"))
}

// checkTypes compares the members of a JSON object with the fields of a message.
func checkTypes(object []byte, descriptor protoreflect.MessageDescriptor, place string) Findings {
	var findings Findings
	for _, member := range members(object) {
		field := descriptor.Fields().ByJSONName(member.name)
		if field == nil || string(member.value) == jsonNull {
			continue
		}
		findings = append(findings, checkField(member.value, field, join(place, member.name))...)
	}
	return findings
}

// checkField checks a value against the type of its field, which may be a list.
func checkField(value []byte, field protoreflect.FieldDescriptor, place string) Findings {
	if !field.IsList() {
		return checkType(value, field, place)
	}
	if !isKind(value, '[') {
		return Findings{{Path: place, Problem: "must be a list"}}
	}
	var findings Findings
	for i, element := range elements(value) {
		findings = append(findings, checkType(element, field, fmt.Sprintf("%s[%d]", place, i))...)
	}
	return findings
}

// checkType checks a single value against the type of its field.
func checkType(value []byte, field protoreflect.FieldDescriptor, place string) Findings {
	first := value[0]
	problem := ""
	switch field.Kind() {
	case protoreflect.MessageKind:
		if first == '{' {
			return checkTypes(value, field.Message(), place)
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
	return Findings{{Path: place, Problem: problem}}
}

// checkFigures finds the figures of a message that are negative.
func checkFigures(message protoreflect.Message, place string) Findings {
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
			findings = append(findings, checkFigures(nested, join(place, field.JSONName()))...)
		case protoreflect.DoubleKind:
			if message.Get(field).Float() < 0 {
				findings.add(join(place, field.JSONName()), "must not be negative")
			}
		}
	}
	return findings
}

// duration converts a figure in some unit. It saturates, and keeps what is above 0 above 0.
func duration(figure float64, unit time.Duration) time.Duration {
	nanoseconds := math.Round(figure * float64(unit))
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	if figure > 0 && nanoseconds < 1 {
		return 1
	}
	return time.Duration(nanoseconds)
}

// integer converts a figure. It saturates, and cuts a fraction off.
func integer(figure float64) int {
	if figure >= math.MaxInt32 {
		return math.MaxInt32
	}
	return int(figure)
}

// orDefault returns the value of an optional field.
func orDefault[Value any](field *Value, absent Value) Value {
	if field == nil {
		return absent
	}
	return *field
}
