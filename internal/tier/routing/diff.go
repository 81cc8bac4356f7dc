package routing

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/tidwall/gjson"
)

// Difference describes how two configurations differ.
type Difference struct {
	Routes, Services Changes
	Limits           bool // whether the limits differ
}

// Changes lists the names of the items that differ, each list sorted.
type Changes struct{ Added, Removed, Changed []string }

// Empty reports whether no item differs.
func (c Changes) Empty() bool { return len(c.Added)+len(c.Removed)+len(c.Changed) == 0 }

// Diff compares two configurations item by item. Every key counts, including those that this package does not know;
// the order of keys and items and the way values are written do not.
func Diff(before, after *Snapshot) Difference {
	old, new := gjson.ParseBytes(before.Body), gjson.ParseBytes(after.Body)
	return Difference{
		Routes:   diffItems(rawByName(old.Get("routes")), rawByName(new.Get("routes"))),
		Services: diffItems(rawByName(old.Get("services")), rawByName(new.Get("services"))),
		Limits:   !equalJSON(old.Get("limits").Raw, new.Get("limits").Raw),
	}
}

func rawByName(list gjson.Result) map[string]string {
	rawItems := map[string]string{}
	for _, item := range list.Array() {
		rawItems[item.Get("name").Str] = item.Raw
	}
	return rawItems
}

func diffItems(before, after map[string]string) Changes {
	var changes Changes
	for _, name := range slices.Sorted(maps.Keys(after)) {
		raw, there := before[name]
		switch {
		case !there:
			changes.Added = append(changes.Added, name)
		case !equalJSON(raw, after[name]):
			changes.Changed = append(changes.Changed, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, there := after[name]; !there {
			changes.Removed = append(changes.Removed, name)
		}
	}
	return changes
}

// equalJSON reports whether two JSON texts have the same value.
func equalJSON(a, b string) bool {
	if a == b {
		return true
	}
	var left, right any
	if json.Unmarshal([]byte(a), &left) != nil || json.Unmarshal([]byte(b), &right) != nil {
		return false // one of them is missing
	}
	return reflect.DeepEqual(left, right)
}
