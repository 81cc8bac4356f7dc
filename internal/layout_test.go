// Package internal only has this test. tier and delivery are the two products, lab simulates them, and the other folders are
// shared by both products.
package internal

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const module = "emberquay/"

// rule forbids imports by the files below some folders, including tests.
type rule struct {
	importers []string // folders of the module
	forbidden []string
	exempt    []string // folders below importers to which the rule does not apply
}

var rules = []rule{
	{importers: []string{"internal/tier/"}, forbidden: []string{"internal/delivery/", "internal/lab/"}},
	{importers: []string{"internal/delivery/"}, forbidden: []string{"internal/tier/", "internal/lab/"}},
	{importers: []string{"cmd/"}, forbidden: []string{"internal/lab/"}, exempt: []string{"cmd/quaylab/"}},
	{importers: []string{"admission/", "control/", "coordination/"}, forbidden: []string{"internal/tier/", "internal/delivery/", "internal/lab/", "cmd/"}},
	{importers: []string{"internal/"}, forbidden: []string{"cmd/"}},
	{ // code shared by both products
		importers: []string{"internal/"}, forbidden: []string{"internal/tier/", "internal/delivery/", "internal/lab/"},
		exempt: []string{"internal/tier/", "internal/delivery/", "internal/lab/"},
	},
}

// isBelow reports whether a folder is one of the roots or below one.
func isBelow(folder string, roots []string) bool {
	return slices.ContainsFunc(roots, func(root string) bool { return strings.HasPrefix(folder+"/", root) })
}

// violates reports whether a rule forbids a folder to import another.
func violates(folder, imported string) bool {
	return slices.ContainsFunc(rules, func(r rule) bool {
		return isBelow(folder, r.importers) && !isBelow(folder, r.exempt) && isBelow(imported, r.forbidden)
	})
}

// moduleImports returns the folders of the module that a file imports.
func moduleImports(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var all []string
	for _, spec := range parsed.Imports {
		name, _ := strconv.Unquote(spec.Path.Value) // the parser has checked that it is a string literal
		if folder, inModule := strings.CutPrefix(name, module); inModule {
			all = append(all, folder)
		}
	}
	return all
}

// The two products do not import each other, and neither imports the laboratory that simulates them.
func TestImports(t *testing.T) {
	filesRead := map[string]int{}
	err := filepath.WalkDir("..", func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path.Ext(file) != ".go" {
			return err
		}
		folder := filepath.ToSlash(filepath.Dir(strings.TrimPrefix(file, "../")))
		filesRead[strings.Join(strings.SplitN(folder, "/", 3)[:min(2, strings.Count(folder, "/")+1)], "/")]++
		for _, imported := range moduleImports(t, file) {
			if violates(folder, imported) {
				t.Errorf("%s imports %s", strings.TrimPrefix(file, "../"), imported)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, product := range []string{"internal/tier", "internal/delivery", "internal/lab", "cmd/emberquay"} {
		if filesRead[product] == 0 {
			t.Errorf("no file below %s was read", product)
		}
	}
}

// The rules forbid what they are meant to forbid, and no more.
func TestRules(t *testing.T) {
	for _, c := range []struct {
		folder, imported string
		want             bool
	}{
		{"internal/tier/proxy", "internal/delivery/config", true},
		{"internal/delivery/sender", "internal/tier/transport", true},
		{"internal/tier/proxy", "internal/lab/sim", true},
		{"cmd/emberquay", "internal/lab/sim", true},
		{"cmd/quaylab", "internal/lab/sim", false},
		{"coordination/chain", "internal/tier/replica", true},
		{"coordination/merkle", "internal/rapidseed", false},
		{"internal/vfs", "internal/tier/journal", true},
		{"internal/lab/fleet", "internal/delivery/config", false},
		{"internal/tier/proxy", "internal/lateness", false},
		{"internal/tier/store", "internal/tier/journal", false},
	} {
		if got := violates(c.folder, c.imported); got != c.want {
			t.Errorf("%s imports %s: forbidden %v, want %v", c.folder, c.imported, got, c.want)
		}
	}
}
