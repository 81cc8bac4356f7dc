package routing

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/tidwall/gjson"
)

// member is a key of an object with its value's bytes as they were sent.
type member struct{ key, raw string }

// Modify applies a change of named items to a configuration and gives the whole document that results. Items that are
// added or replaced keep the bytes in which they were sent, all others those that they had; the order of items stays, and
// new ones come last. A name that is to be removed and is not there is no error. An empty current configuration holds
// nothing. Whether what results is valid is told by Parse.
func Modify(current, patch []byte) ([]byte, error) {
	if len(current) == 0 {
		current = []byte("{}")
	}
	document, err := newDocument(current)
	if err != nil {
		return nil, currentError(err)
	}
	change, err := newDocument(patch)
	if err != nil {
		return nil, err
	}
	readVersion(change)
	upsert, remove := change.object("upsert"), change.object("remove")
	if err := change.err(); err != nil {
		return nil, err
	}
	members := set(orderedMembers(current), "version", change.values["version"].Raw)
	members = alter(members, document, upsert, remove)
	if err := document.err(); err != nil {
		return nil, currentError(err)
	}
	if err := change.err(); err != nil {
		return nil, err
	}
	return encode(members), nil
}

// orderedMembers gives the keys of an object in the order in which they stand there.
func orderedMembers(body []byte) []member {
	var members []member
	gjson.ParseBytes(body).ForEach(func(key, value gjson.Result) bool {
		members = append(members, member{key: key.Str, raw: value.Raw})
		return true
	})
	return members
}

// set replaces a member's value, or adds it.
func set(members []member, key, raw string) []member {
	at := slices.IndexFunc(members, func(m member) bool { return m.key == key })
	if at < 0 {
		return append(members, member{key: key, raw: raw})
	}
	members[at].raw = raw
	return members
}

// encode writes an object of those members.
func encode(members []member) []byte {
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

// currentError tells that what is wrong is not in the change.
func currentError(err error) error { return fmt.Errorf("the current configuration: %w", err) }

func quote(text string) string { return string(gjson.AppendJSONString(nil, text)) }
