package configuration

import (
	"slices"

	"google.golang.org/protobuf/reflect/protoreflect"

	"gladepick/internal/configuration/configurationpb"
)

// notRead is the problem of a member that this version does not know. Parse and Update ignore such a member, because a
// later version may define it. In a file that an operator checks, it is most likely misspelt.
const notRead = "is not read"

// unusedMembers are members of routes and services that the documentation for operators lists, but that this program
// does not use. They are not reported as unknown.
var unusedMembers = []string{"callback-url", "pull-mode", "tls"}

// knownMembers maps the name of each member that is read from an object to the message type of the member's value. The
// type is nil if the members of the value must not be checked against a message.
type knownMembers map[string]protoreflect.MessageDescriptor

// The members of a configuration, of an update, and of an update's member upsert.
var (
	documentMembers = knownMembers{
		fieldVersion:  nil,
		fieldLimits:   (&configurationpb.Limits{}).ProtoReflect().Descriptor(),
		fieldRoutes:   (&configurationpb.Route{}).ProtoReflect().Descriptor(),
		fieldServices: (&configurationpb.Service{}).ProtoReflect().Descriptor(),
	}
	updateMembers = knownMembers{
		fieldVersion: nil,
		fieldUpsert:  nil, // UnknownUpdateMembers checks it against upsertMembers
		fieldRemove:  (&configurationpb.Removal{}).ProtoReflect().Descriptor(),
	}
	upsertMembers = knownMembers{
		fieldLimits:   documentMembers[fieldLimits],
		fieldRoutes:   documentMembers[fieldRoutes],
		fieldServices: documentMembers[fieldServices],
	}
)

// UnknownMembers returns a finding for each member of a complete configuration that this version does not read. It
// returns none for a text that is not valid JSON; Parse reports what is wrong with such a text.
func UnknownMembers(raw []byte) Findings {
	if checkSyntax(raw) != nil {
		return nil
	}
	return unknownMembers(raw, documentMembers, "")
}

// UnknownUpdateMembers is like UnknownMembers, but for an update.
func UnknownUpdateMembers(raw []byte) Findings {
	if checkSyntax(raw) != nil {
		return nil
	}
	findings := unknownMembers(raw, updateMembers, "")
	upsert := findMember(members(raw), fieldUpsert)
	return append(findings, unknownMembers(upsert, upsertMembers, fieldUpsert)...)
}

// unknownMembers returns a finding for each unknown member of an object, and for those nested in its known members.
func unknownMembers(object []byte, known knownMembers, path string) Findings {
	var findings Findings
	for _, member := range members(object) {
		memberPath := member.name
		if path != "" {
			memberPath = path + "." + member.name
		}
		descriptor, found := known[member.name]
		switch {
		case !found:
			findings.add(memberPath, notRead)
		case descriptor != nil:
			findings = append(findings, unknownFields(member.value, descriptor, memberPath)...)
		}
	}
	return findings
}

// unknownFields returns a finding for each unknown member of a value, which is an object or a list of objects of one
// message type.
func unknownFields(value []byte, descriptor protoreflect.MessageDescriptor, path string) Findings {
	var findings Findings
	for _, member := range members(value) {
		if descriptor.Fields().ByJSONName(member.name) == nil && !slices.Contains(unusedMembers, member.name) {
			findings.add(joinPath(path, member.name), notRead)
		}
	}
	for i, element := range elements(value) {
		findings = append(findings, unknownFields(element, descriptor, itemPath(path, i, nameOf(element)))...)
	}
	return findings
}
