package routing

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/tidwall/gjson"
)

// member is a key of an object with the bytes of its value as they were sent.
type member struct{ key, raw string }

// Modify applies a change of named items to a configuration and returns the complete resulting document. Added and
// replaced items have the bytes in which they were sent, all others keep theirs. Items keep their order and new ones
// come last. Removing a name that does not exist is not an error. An empty current body is a configuration without
// items. Modify does not validate the result; Parse does.
func Modify(current, patch []byte) ([]byte, error) {
	if len(current) == 0 {
		current = []byte("{}")
	}
	document, err := newDocument(current)
	if err != nil {
		return nil, currentConfigError(err)
	}
	return modify(document, map[string]*itemList{}, patch)
}

// Modify is like the function of that name for the configuration of the snapshot, whose routes are not read again: beside a
// list of their names and a copy of the text, the cost grows with the change only.
func (s *Snapshot) Modify(patch []byte) ([]byte, error) {
	lists := map[string]*itemList{}
	if s.source.document.values["routes"].IsArray() {
		lists["routes"] = s.routeItems()
	}
	return modify(s.source.document.copy(), lists, patch)
}

// modify applies a change to a document, some of whose lists have been read already.
func modify(document *object, lists map[string]*itemList, patch []byte) ([]byte, error) {
	change, err := newDocument(patch)
	if err != nil {
		return nil, err
	}
	readVersion(change)
	upsert, remove := change.object("upsert"), change.object("remove")
	if err := change.err(); err != nil {
		return nil, err
	}
	members := setMember(document.members(), "version", change.values["version"].Raw)
	members = applyChanges(members, document, lists, upsert, remove)
	if err := document.err(); err != nil {
		return nil, currentConfigError(err)
	}
	if err := change.err(); err != nil {
		return nil, err
	}
	return encodeObject(members), nil
}

// members returns the members of the object in their order in the text.
func (o *object) members() []member {
	members := make([]member, 0, len(o.order))
	for _, key := range o.order {
		members = append(members, member{key: key, raw: o.values[key].Raw})
	}
	return members
}

// setMember replaces the value of a member, or appends the member.
func setMember(members []member, key, raw string) []member {
	index := slices.IndexFunc(members, func(m member) bool { return m.key == key })
	if index < 0 {
		return append(members, member{key: key, raw: raw})
	}
	members[index].raw = raw
	return members
}

// encodeObject returns the JSON object of the members.
func encodeObject(members []member) []byte {
	var out bytes.Buffer
	out.WriteByte('{')
	for i, m := range members {
		if i > 0 {
			out.WriteByte(',')
		}
		fmt.Fprintf(&out, "%s:%s", quote(m.key), m.raw)
	}
	out.WriteByte('}')
	return out.Bytes()
}

// currentConfigError marks an error as one of the current configuration rather than of the change.
func currentConfigError(err error) error { return fmt.Errorf("the current configuration: %w", err) }

func quote(text string) string { return string(gjson.AppendJSONString(nil, text)) }
