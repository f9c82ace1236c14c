package configuration

import (
	"gladepick/internal/configuration/configurationpb"
)

// Names of JSON members that only an update has.
const (
	fieldUpsert = "upsert"
	fieldRemove = "remove"
)

// update is a decoded update: the items to add, replace or remove, and the new version and limits.
type update struct {
	version        uint64
	versionRaw     []byte
	limits         *configurationpb.Limits // nil if the limits stay unchanged
	limitsRaw      []byte
	routes         []item[*Route]   // to add or to replace
	services       []item[*Service] // to add or to replace
	removeRoutes   []string
	removeServices []string
}

// Update returns the document that results from an update. The update lists items to add, items that replace those of
// the same name, and names of items to remove. An item that is both upserted and removed is removed. Update checks the
// result as a whole. An error is of type Findings. The caller must compare the versions with CheckVersion.
func (d *Document) Update(raw []byte) (*Document, error) {
	if d == nil {
		return nil, Findings{{Problem: "no configuration to update"}}
	}
	change, findings := parseUpdate(raw)
	if err := findings.asError(); err != nil {
		return nil, err
	}
	next := d.apply(change, len(raw))
	if err := next.checkItems().asError(); err != nil {
		return nil, err
	}
	return next.withTable(), nil
}

// parseUpdate decodes an update and checks each of its items.
func parseUpdate(raw []byte) (*update, Findings) {
	if err := checkSyntax(raw); err != nil {
		return nil, Findings{{Problem: err.Error()}}
	}
	if !isKind(raw, '{') {
		return nil, Findings{{Problem: "must be an object"}}
	}
	top := members(raw)
	findings := checkUniqueMembers(top)
	header, found := readHeader([]member{{name: fieldVersion, value: findMember(top, fieldVersion)}})
	findings = append(findings, found...)

	change := &update{version: header.GetVersion(), versionRaw: findMember(top, fieldVersion)}
	findings = append(findings, change.readUpsert(findMember(top, fieldUpsert))...)
	findings = append(findings, change.readRemove(findMember(top, fieldRemove))...)
	return change, findings
}

// isAbsent reports whether an optional value is missing or null.
func isAbsent(value []byte) bool {
	return value == nil || string(value) == jsonNull
}

// readUpsert reads the items to add or to replace.
func (u *update) readUpsert(value []byte) Findings {
	if isAbsent(value) {
		return nil
	}
	if !isKind(value, '{') {
		return Findings{{Path: fieldUpsert, Problem: "must be an object"}}
	}
	upsert := members(value)
	findings := checkUniqueMembers(upsert)
	routes, found := readUpsertItems(upsert, fieldRoutes, parseRoute)
	findings = append(findings, found...)
	services, found := readUpsertItems(upsert, fieldServices, parseService)
	findings = append(findings, found...)
	u.routes, u.services = routes, services
	if limits := findMember(upsert, fieldLimits); !isAbsent(limits) {
		u.limitsRaw = limits
		u.limits = &configurationpb.Limits{}
		findings = append(findings, decodeMessage(limits, u.limits, fieldUpsert+"."+fieldLimits)...)
	}
	return findings
}

// readUpsertItems reads one list of items to add or to replace, which may be absent.
func readUpsertItems[Value any](upsert []member, list string, parse parseItem[Value]) ([]item[Value], Findings) {
	array := findMember(upsert, list)
	if isAbsent(array) {
		return nil, nil
	}
	path := fieldUpsert + "." + list
	items, findings := newItemReader(parse, nil).read(array, path)
	return items, append(findings, checkUniqueNames(items, path)...)
}

// readRemove reads the names to remove.
func (u *update) readRemove(value []byte) Findings {
	if isAbsent(value) {
		return nil
	}
	removal := &configurationpb.Removal{}
	findings := decodeMessage(value, removal, fieldRemove)
	u.removeRoutes = removal.GetRoutes()
	u.removeServices = removal.GetServices()
	return findings
}

// apply returns the changed document, not yet checked. It copies all bytes into a new buffer, so that the new document
// does not keep the buffers of earlier ones in memory.
func (d *Document) apply(change *update, changeSize int) *Document {
	next := &Document{version: change.version, limits: d.limits}
	if change.limits != nil {
		next.limits = newLimits(change.limits)
	}
	routes := applyItems(d.routes, change.routes, change.removeRoutes)
	services := applyItems(d.services, change.services, change.removeServices)

	text := make([]byte, 0, len(d.raw)+changeSize)
	for i, old := range d.membersFor(change) {
		text = append(text, separator(i, '{'))
		text = append(text, old.key...)
		text = append(text, ':')
		start := len(text)
		switch old.name {
		case fieldVersion:
			text = append(text, change.versionRaw...)
		case fieldLimits:
			text = append(text, change.limitsOrOld(old.value)...)
		case fieldRoutes:
			text, next.routes = appendItems(text, routes)
		case fieldServices:
			text, next.services = appendItems(text, services)
		default:
			text = append(text, old.value...)
		}
		next.members = append(next.members, member{name: old.name, key: old.key, value: text[start:len(text):len(text)]})
	}
	next.raw = append(text, '}')
	return next
}

// membersFor returns the top-level members of the changed document. It adds a member for the limits if the update has
// limits and the document has none.
func (d *Document) membersFor(change *update) []member {
	if change.limitsRaw == nil || findMember(d.members, fieldLimits) != nil {
		return d.members
	}
	extended := make([]member, 0, len(d.members)+1)
	extended = append(extended, d.members...)
	return append(extended, member{name: fieldLimits, key: quote(fieldLimits)})
}

// limitsOrOld returns the update's limits, or the old ones if the update has none.
func (u *update) limitsOrOld(old []byte) []byte {
	if u.limitsRaw != nil {
		return u.limitsRaw
	}
	return old
}

// applyItems returns a copy of a list after the upserts and removals. Replaced items keep their position; new items
// follow at the end.
func applyItems[Value any](old, upsert []item[Value], remove []string) []item[Value] {
	positions := make(map[string]int, len(old)+len(upsert))
	items := make([]item[Value], 0, len(old)+len(upsert))
	for i, item := range old {
		positions[item.name] = i
		items = append(items, item)
	}
	for _, item := range upsert {
		if position, ok := positions[item.name]; ok {
			items[position] = item
			continue
		}
		items = append(items, item)
	}
	return removeItems(items, remove)
}

// removeItems returns a list without the items of the given names. It reuses the list's memory.
func removeItems[Value any](items []item[Value], names []string) []item[Value] {
	if len(names) == 0 {
		return items
	}
	removed := make(map[string]bool, len(names))
	for _, name := range names {
		removed[name] = true
	}
	kept := items[:0]
	for _, item := range items {
		if !removed[item.name] {
			kept = append(kept, item)
		}
	}
	return kept
}

// appendItems appends a list of items to the text as a JSON array. It returns the text and the items with their bytes
// in it.
func appendItems[Value any](text []byte, items []item[Value]) ([]byte, []item[Value]) {
	moved := make([]item[Value], 0, len(items))
	if len(items) == 0 {
		return append(text, '[', ']'), moved
	}
	for i, old := range items {
		text = append(text, separator(i, '['))
		start := len(text)
		text = append(text, old.raw...)
		moved = append(moved, item[Value]{name: old.name, raw: text[start:len(text):len(text)], value: old.value})
	}
	return append(text, ']'), moved
}

// separator returns the byte that precedes a member or an element: the opening byte before the first, otherwise a
// comma.
func separator(index int, opening byte) byte {
	if index == 0 {
		return opening
	}
	return ','
}
