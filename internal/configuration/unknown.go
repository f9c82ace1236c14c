package configuration

import (
	"slices"

	"google.golang.org/protobuf/reflect/protoreflect"

	"gladepick/internal/configuration/configurationpb"
)

// notRead is the problem of a member that this version does not know. The wire ignores it, since later versions may know
// it; in a file it is most likely misspelt.
const notRead = "is not read"

// unusedMembers are members of routes and services that operators' pages have, and that this service has no use for.
var unusedMembers = []string{"callback-url", "pull-mode", "tls"}

// memberKinds are the members of an object that are read, with the messages that they hold; nil where they hold no objects.
type memberKinds map[string]protoreflect.MessageDescriptor

// The members of a configuration, of an update, and of an update's member upsert.
var (
	documentMembers = memberKinds{
		fieldVersion:  nil,
		fieldLimits:   (&configurationpb.Limits{}).ProtoReflect().Descriptor(),
		fieldRoutes:   (&configurationpb.Route{}).ProtoReflect().Descriptor(),
		fieldServices: (&configurationpb.Service{}).ProtoReflect().Descriptor(),
	}
	updateMembers = memberKinds{
		fieldVersion: nil,
		fieldUpsert:  nil, // see UnknownUpdateMembers
		fieldRemove:  (&configurationpb.Removal{}).ProtoReflect().Descriptor(),
	}
	upsertMembers = memberKinds{
		fieldLimits:   documentMembers[fieldLimits],
		fieldRoutes:   documentMembers[fieldRoutes],
		fieldServices: documentMembers[fieldServices],
	}
)

// UnknownMembers lists the members of a complete configuration that are not read, with their places. Of a text that is no
// JSON it lists none: Parse tells what is wrong with that.
func UnknownMembers(raw []byte) Findings {
	if checkSyntax(raw) != nil {
		return nil
	}
	return unknownMembers(raw, documentMembers, "")
}

// UnknownUpdateMembers is UnknownMembers for an update.
func UnknownUpdateMembers(raw []byte) Findings {
	if checkSyntax(raw) != nil {
		return nil
	}
	findings := unknownMembers(raw, updateMembers, "")
	upsert := findMember(members(raw), fieldUpsert)
	return append(findings, unknownMembers(upsert, upsertMembers, fieldUpsert)...)
}

// unknownMembers looks at an object of which some members are known.
func unknownMembers(object []byte, known memberKinds, path string) Findings {
	var findings Findings
	for _, member := range members(object) {
		place := member.name
		if path != "" {
			place = path + "." + member.name
		}
		descriptor, found := known[member.name]
		switch {
		case !found:
			findings.add(place, notRead)
		case descriptor != nil:
			findings = append(findings, unknownIn(member.value, descriptor, place)...)
		}
	}
	return findings
}

// unknownIn looks at a value: an object, or a list of objects, of which a message has the fields.
func unknownIn(value []byte, descriptor protoreflect.MessageDescriptor, path string) Findings {
	var findings Findings
	for _, member := range members(value) {
		if descriptor.Fields().ByJSONName(member.name) == nil && !slices.Contains(unusedMembers, member.name) {
			findings.add(joinPath(path, member.name), notRead)
		}
	}
	for i, element := range elements(value) {
		findings = append(findings, unknownIn(element, descriptor, itemPath(path, i, nameOf(element)))...)
	}
	return findings
}
