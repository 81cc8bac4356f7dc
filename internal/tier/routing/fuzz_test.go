package routing_test

import (
	"encoding/json"
	"slices"
	"testing"

	"emberquay/internal/tier/routing"
)

// FuzzParse: whatever the body, it is either refused or gives a configuration that holds what it promises.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte(small))
	f.Add([]byte(`{"version":1,"services":[{"name":"s"}],"routes":[{"name":"r","authority":"a:1","path_prefix":"/","timeout_ms":1,"service":"s"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		snapshot, err := routing.Parse(body)
		if err != nil {
			return
		}
		if !json.Valid(body) {
			t.Fatal("taken, but no JSON")
		}
		checkSnapshot(t, snapshot)
	})
}

func checkSnapshot(t *testing.T, snapshot *routing.Snapshot) {
	t.Helper()
	if snapshot.Version == 0 {
		t.Fatal("version 0")
	}
	for _, route := range snapshot.Routes {
		if route.Timeout <= 0 || route.MaxAttempts < 1 {
			t.Fatalf("%+v", route)
		}
		found, ok := snapshot.Match(route.Authority, route.PathPrefix)
		if !ok || found != route {
			t.Fatalf("route %q is not found at its own place", route.Name)
		}
		for _, unit := range []float64{0, 0.5, 1} {
			if snapshot.Services[route.ChooseTarget(unit).Service] == nil {
				t.Fatalf("route %q leads to no service", route.Name)
			}
		}
	}
}

// FuzzModify: whatever the change, it is either refused or gives a document whose version is the change's and that
// differs from the one before in nothing that the change does not name.
func FuzzModify(f *testing.F) {
	f.Add([]byte(small), []byte(`{"version":5,"upsert":{"routes":[{"name":"c"}],"limits":{}},"remove":{"services":["s"]}}`))
	f.Add([]byte(example), []byte(`{"version":9,"upsert":{"services":[{"name":"wuno96b","max_connections":1}]}}`))
	f.Add([]byte(""), []byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, current, patch []byte) {
		body, err := routing.Modify(current, patch)
		if err != nil {
			return
		}
		if !json.Valid(body) {
			t.Fatalf("no JSON: %q", body)
		}
		// Sent again on top of what came of it, a change alters nothing any more.
		again, err := routing.Modify(body, patch)
		if err != nil || string(again) != string(body) {
			t.Fatalf("%v\n%q\n%q", err, body, again)
		}
		before, err := routing.Parse(current)
		if err != nil {
			return
		}
		after, err := routing.Parse(body)
		if err != nil {
			return
		}
		checkSnapshot(t, after)
		checkNamed(t, routing.Diff(before, after), patch)
	})
}

// checkNamed looks whether a change names the items that differ.
func checkNamed(t *testing.T, difference routing.Difference, patch []byte) {
	t.Helper()
	var named struct {
		Upsert map[string]json.RawMessage
		Remove map[string][]string
	}
	if err := json.Unmarshal(patch, &named); err != nil {
		return // encoding/json takes other keys for the same
	}
	for _, gone := range difference.Routes.Removed {
		if !slices.Contains(named.Remove["routes"], gone) {
			t.Fatalf("route %q is gone", gone)
		}
	}
	if changed := len(difference.Services.Added) + len(difference.Services.Changed); changed > 0 && named.Upsert["services"] == nil {
		t.Fatalf("services changed: %+v", difference.Services)
	}
}
