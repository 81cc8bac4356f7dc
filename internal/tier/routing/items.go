package routing

import (
	"maps"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// itemList holds the items of one list, such as routes or services, in order.
type itemList struct {
	members []member       // item names with their bytes
	indexes map[string]int // index in members by name
}

// readItems reads the items of one list. A duplicate or missing name is recorded as an error.
func readItems(o *object, key string) *itemList {
	list := &itemList{indexes: map[string]int{}}
	values := o.list(key)
	for i, item := range o.objects(key) {
		name := item.requiredString("name")
		if _, twice := list.indexes[name]; twice {
			item.fail("name", "another item has the same one")
		}
		list.set(name, values[i].Raw)
	}
	return list
}

// set replaces the item with that name, or appends it.
func (s *itemList) set(name, raw string) {
	if index, ok := s.indexes[name]; ok {
		s.members[index].raw = raw
		return
	}
	s.indexes[name] = len(s.members)
	s.members = append(s.members, member{key: name, raw: raw})
}

// remove deletes the items with those names.
func (s *itemList) remove(names []string) {
	removed := make(map[string]bool, len(names))
	for _, name := range names {
		removed[name] = true
	}
	s.members = slices.DeleteFunc(s.members, func(m member) bool { return removed[m.key] })
	clear(s.indexes)
	for i, m := range s.members {
		s.indexes[m.key] = i
	}
}

// encode returns the items as a JSON array.
func (s *itemList) encode() string {
	var out strings.Builder
	out.WriteByte('[')
	for i, m := range s.members {
		if i > 0 {
			out.WriteByte(',')
		}
		out.WriteString(m.raw)
	}
	out.WriteByte(']')
	return out.String()
}

// applyChanges returns the members after the changes of upsert and remove, in that order. Lists under any key are
// changed item by item; other values, such as limits, are replaced. lists holds those lists of the document that have been
// read already.
func applyChanges(members []member, document *object, lists map[string]*itemList, upsert, remove *object) []member {
	changed := map[string]*itemList{}
	itemsOf := func(key string) *itemList {
		switch {
		case changed[key] != nil:
		case lists[key] != nil:
			changed[key] = lists[key]
		default:
			changed[key] = readItems(document, key)
		}
		return changed[key]
	}
	for _, key := range upsert.keys() {
		if value := upsert.values[key]; !value.IsArray() {
			members = replaceValue(members, document, upsert, key, value)
			continue
		}
		items := itemsOf(key)
		for _, item := range readItems(upsert, key).members {
			items.set(item.key, item.raw)
		}
	}
	for _, key := range remove.keys() {
		names := remove.stringList(key)
		checkConflicts(upsert, remove, key, names)
		if _, there := document.values[key]; !there && changed[key] == nil {
			continue // there is no list to remove from
		}
		itemsOf(key).remove(names)
	}
	for _, key := range slices.Sorted(maps.Keys(changed)) {
		members = setMember(members, key, changed[key].encode())
	}
	return members
}

// replaceValue replaces a value that is not a list. It refuses to replace a list by another value, since that would
// remove all items of the list at once.
func replaceValue(members []member, document, upsert *object, key string, value gjson.Result) []member {
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
	return setMember(members, key, value.Raw)
}

// checkConflicts refuses a change that both upserts and removes an item, since its intent is ambiguous.
func checkConflicts(upsert, remove *object, key string, names []string) {
	if upsert == nil || !upsert.values[key].IsArray() {
		return
	}
	upserted := readItems(upsert, key)
	for _, name := range names {
		if _, both := upserted.indexes[name]; both {
			remove.fail(key, "%q is also in upsert", name)
		}
	}
}
