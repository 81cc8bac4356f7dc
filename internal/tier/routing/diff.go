package routing

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/tidwall/gjson"
)

// Difference tells how one configuration differs from another.
type Difference struct {
	Routes, Services Changes
	Limits           bool // they differ
}

// Changes are the names of the items that differ, each list in order of the alphabet.
type Changes struct{ Added, Removed, Changed []string }

// Empty says whether there are none.
func (c Changes) Empty() bool { return len(c.Added)+len(c.Removed)+len(c.Changed) == 0 }

// Diff compares two configurations item by item: every key counts, also those that this package does not know, but not
// how they are written or in which order they stand.
func Diff(before, after *Snapshot) Difference {
	old, new := gjson.ParseBytes(before.Body), gjson.ParseBytes(after.Body)
	return Difference{
		Routes:   compare(byName(old.Get("routes")), byName(new.Get("routes"))),
		Services: compare(byName(old.Get("services")), byName(new.Get("services"))),
		Limits:   !same(old.Get("limits").Raw, new.Get("limits").Raw),
	}
}

func byName(list gjson.Result) map[string]string {
	raws := map[string]string{}
	for _, item := range list.Array() {
		raws[item.Get("name").Str] = item.Raw
	}
	return raws
}

func compare(before, after map[string]string) Changes {
	var changes Changes
	for _, name := range slices.Sorted(maps.Keys(after)) {
		raw, there := before[name]
		switch {
		case !there:
			changes.Added = append(changes.Added, name)
		case !same(raw, after[name]):
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

// same compares two values by what they mean.
func same(a, b string) bool {
	if a == b {
		return true
	}
	var left, right any
	if json.Unmarshal([]byte(a), &left) != nil || json.Unmarshal([]byte(b), &right) != nil {
		return false // one of them is missing
	}
	return reflect.DeepEqual(left, right)
}
