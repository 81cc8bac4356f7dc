package routing_test

import (
	"encoding/json"
	"slices"
	"testing"

	"emberquay/internal/tier/routing"
)

// FuzzParse checks that any body is either refused or parsed into a snapshot whose invariants hold.
func FuzzParse(f *testing.F) {
	f.Add([]byte(exampleConfig))
	f.Add([]byte(smallConfig))
	f.Add([]byte(`{"version":1,"services":[{"name":"s"}],"routes":[{"name":"r","authority":"a:1","path_prefix":"/","timeout_ms":1,"service":"s"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		snapshot, err := routing.Parse(body)
		if err != nil {
			return
		}
		if !json.Valid(body) {
			t.Fatal("accepted a body that is not JSON")
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
			t.Fatalf("route %q is not found by its own host and prefix", route.Name)
		}
		for _, unit := range []float64{0, 0.5, 1} {
			if snapshot.Services[route.ChooseTarget(unit).Service] == nil {
				t.Fatalf("route %q has a target that is not a service", route.Name)
			}
		}
	}
}

// FuzzModify checks that any change is either refused or gives a JSON document to which the same change adds nothing,
// and which differs from the document before only in items that the change names.
func FuzzModify(f *testing.F) {
	f.Add([]byte(smallConfig), []byte(`{"version":5,"upsert":{"routes":[{"name":"c"}],"limits":{}},"remove":{"services":["s"]}}`))
	f.Add([]byte(exampleConfig), []byte(`{"version":9,"upsert":{"services":[{"name":"wuno96b","max_connections":1}]}}`))
	f.Add([]byte(""), []byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, current, patch []byte) {
		body, err := routing.Modify(current, patch)
		if err != nil {
			return
		}
		if !json.Valid(body) {
			t.Fatalf("result is not JSON: %q", body)
		}
		// A change is idempotent: applied to its own result, it changes nothing.
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
		checkOnlyNamedItemsDiffer(t, routing.Diff(before, after), patch)
	})
}

// checkOnlyNamedItemsDiffer fails the test if removed routes or changed services are not named by the change.
func checkOnlyNamedItemsDiffer(t *testing.T, difference routing.Difference, patch []byte) {
	t.Helper()
	var named struct {
		Upsert map[string]json.RawMessage
		Remove map[string][]string
	}
	if err := json.Unmarshal(patch, &named); err != nil {
		return // encoding/json also matches keys that differ in case
	}
	for _, gone := range difference.Routes.Removed {
		if !slices.Contains(named.Remove["routes"], gone) {
			t.Fatalf("route %q was removed but is not named", gone)
		}
	}
	if changed := len(difference.Services.Added) + len(difference.Services.Changed); changed > 0 && named.Upsert["services"] == nil {
		t.Fatalf("services changed but are not named: %+v", difference.Services)
	}
}
