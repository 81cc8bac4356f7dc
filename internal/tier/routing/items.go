package routing

import (
	"maps"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// items are the items of one list, as routes or services, in their order.
type items struct {
	list []member       // name and bytes
	at   map[string]int // name to place in list
}

// readItems reads the items of one list. Two of the same name, or one without, are told as errors.
func readItems(o *object, key string) *items {
	read := &items{at: map[string]int{}}
	values := o.list(key)
	for i, item := range o.objects(key) {
		name := item.requiredText("name")
		if _, twice := read.at[name]; twice {
			item.fail("name", "another item has the same one")
		}
		read.put(name, values[i].Raw)
	}
	return read
}

// put replaces the item of that name, or adds it at the end.
func (s *items) put(name, raw string) {
	if at, ok := s.at[name]; ok {
		s.list[at].raw = raw
		return
	}
	s.at[name] = len(s.list)
	s.list = append(s.list, member{key: name, raw: raw})
}

// without drops the items of those names.
func (s *items) without(names []string) {
	gone := make(map[string]bool, len(names))
	for _, name := range names {
		gone[name] = true
	}
	s.list = slices.DeleteFunc(s.list, func(m member) bool { return gone[m.key] })
	clear(s.at)
	for i, m := range s.list {
		s.at[m.key] = i
	}
}

// encode writes the items as a list.
func (s *items) encode() string {
	var out strings.Builder
	out.WriteByte('[')
	for i, m := range s.list {
		if i > 0 {
			out.WriteByte(',')
		}
		out.WriteString(m.raw)
	}
	out.WriteByte(']')
	return out.String()
}

// alter gives the members after the changes of upsert and remove, in that order. Lists are altered item by item, under
// whatever key they stand; what is no list, as limits, is replaced.
func alter(members []member, document, upsert, remove *object) []member {
	changed := map[string]*items{}
	list := func(key string) *items {
		if changed[key] == nil {
			changed[key] = readItems(document, key)
		}
		return changed[key]
	}
	for _, key := range upsert.keys() {
		if value := upsert.values[key]; !value.IsArray() {
			members = replaceWhole(members, document, upsert, key, value)
			continue
		}
		into := list(key)
		for _, item := range readItems(upsert, key).list {
			into.put(item.key, item.raw)
		}
	}
	for _, key := range remove.keys() {
		names := remove.texts(key)
		checkNotBoth(upsert, remove, key, names)
		if _, there := document.values[key]; !there && changed[key] == nil {
			continue // there is nothing to remove from
		}
		list(key).without(names)
	}
	for _, key := range slices.Sorted(maps.Keys(changed)) {
		members = set(members, key, changed[key].encode())
	}
	return members
}

// replaceWhole replaces what is no list. A list stays one: else all of its items would go at once.
func replaceWhole(members []member, document, upsert *object, key string, value gjson.Result) []member {
	if value.Type == gjson.Null {
		return members
	}
	if key == "routes" || key == "services" || document.values[key].IsArray() {
		upsert.fail(key, "must be a list")
		return members
	}
	if key == "version" {
		upsert.fail(key, "stands beside upsert, not in it")
		return members
	}
	return set(members, key, value.Raw)
}

// checkNotBoth refuses a change that both puts and removes an item: which of the two is meant cannot be told.
func checkNotBoth(upsert, remove *object, key string, names []string) {
	if upsert == nil || !upsert.values[key].IsArray() {
		return
	}
	put := readItems(upsert, key)
	for _, name := range names {
		if _, both := put.at[name]; both {
			remove.fail(key, "%q is also in upsert", name)
		}
	}
}
