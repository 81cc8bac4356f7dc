// Package internal holds no code of its own: tier and delivery are the two products, lab plays them, and what lies beside
// these is used by both.
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

// rule says what the files below some folders must not import, tests included.
type rule struct {
	below  []string // folders of the module
	never  []string
	except []string // of below: folders to which it does not apply
}

var rules = []rule{
	{below: []string{"internal/tier/"}, never: []string{"internal/delivery/", "internal/lab/"}},
	{below: []string{"internal/delivery/"}, never: []string{"internal/tier/", "internal/lab/"}},
	{below: []string{"cmd/"}, never: []string{"internal/lab/"}, except: []string{"cmd/quaylab/"}},
	{below: []string{"admission/", "control/", "coordination/"}, never: []string{"internal/tier/", "internal/delivery/", "internal/lab/", "cmd/"}},
	{below: []string{"internal/"}, never: []string{"cmd/"}},
	{ // what both products use, beside the three
		below: []string{"internal/"}, never: []string{"internal/tier/", "internal/delivery/", "internal/lab/"},
		except: []string{"internal/tier/", "internal/delivery/", "internal/lab/"},
	},
}

// under says whether a folder of the module lies below one of these.
func under(folder string, roots []string) bool {
	return slices.ContainsFunc(roots, func(root string) bool { return strings.HasPrefix(folder+"/", root) })
}

// breaks gives the rules by which a folder must not import another.
func breaks(folder, imported string) bool {
	return slices.ContainsFunc(rules, func(r rule) bool {
		return under(folder, r.below) && !under(folder, r.except) && under(imported, r.never)
	})
}

// imports gives the folders of the module that a file imports.
func imports(t *testing.T, file string) []string {
	t.Helper()
	parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	var all []string
	for _, spec := range parsed.Imports {
		name, _ := strconv.Unquote(spec.Path.Value) // the parser has read it as a string
		if folder, ours := strings.CutPrefix(name, module); ours {
			all = append(all, folder)
		}
	}
	return all
}

// The two products do not import each other, and neither imports the laboratory that plays them.
func TestImports(t *testing.T) {
	seen := map[string]int{}
	err := filepath.WalkDir("..", func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path.Ext(file) != ".go" {
			return err
		}
		folder := filepath.ToSlash(filepath.Dir(strings.TrimPrefix(file, "../")))
		seen[strings.Join(strings.SplitN(folder, "/", 3)[:min(2, strings.Count(folder, "/")+1)], "/")]++
		for _, imported := range imports(t, file) {
			if breaks(folder, imported) {
				t.Errorf("%s imports %s", strings.TrimPrefix(file, "../"), imported)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, product := range []string{"internal/tier", "internal/delivery", "internal/lab", "cmd/emberquay"} {
		if seen[product] == 0 {
			t.Errorf("no file below %s was read", product)
		}
	}
}

// The rules say what they are meant to say.
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
		if got := breaks(c.folder, c.imported); got != c.want {
			t.Errorf("%s imports %s: against a rule %v, want %v", c.folder, c.imported, got, c.want)
		}
	}
}
