// Package tomlfile decodes TOML files strictly: an unknown key, a value of the wrong type or out of range is an error that
// names the line, the key and the allowed values. Struct tags define them:
//
//	type Load struct {
//		Rate  float64 `toml:"texts_per_s" range:"0.1 500" comment:"handed in by clients, a second"`
//		Shape string  `toml:"shape" oneof:"flat wave"`
//	}
//	load := Load{Rate: 60, Shape: "flat"} // defaults
//	err := tomlfile.Decode(raw, &load)    // line 2: texts_per_s: 0 is out of range; allowed: 0.1 to 500
//
// range applies to numbers (in a list: to each element) and includes both ends. Keys that are absent from the file keep
// their previous values. Encode writes a value with the comments of its tags.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Decode decodes raw into a pointer to a struct that holds the defaults.
func Decode(raw []byte, into any) error {
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	err := dec.Decode(into)
	var unknown *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		first := unknown.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("line %d: %s: this key is not known; allowed: %s", line, strings.Join(first.Key(), "."),
			strings.Join(keysAt(reflect.TypeOf(into), first.Key()), ", "))
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		if key := decodeErr.Key(); len(key) > 0 {
			if f, ok := fieldAt(reflect.TypeOf(into), key); ok {
				return fmt.Errorf("line %d: %s: the value has the wrong type; allowed: %s", line, strings.Join(key, "."), describeAllowed(f))
			}
		}
		return fmt.Errorf("line %d: %s", line, strings.TrimPrefix(decodeErr.Error(), "toml: "))
	case err != nil:
		return err
	}
	return (&checker{lines: keyLines(raw)}).check(reflect.ValueOf(into).Elem(), "", "")
}

// Encode encodes a value as TOML with the comments of its tags.
func Encode(v any) ([]byte, error) {
	var out bytes.Buffer
	enc := toml.NewEncoder(&out)
	enc.SetIndentTables(false)
	err := enc.Encode(v)
	return out.Bytes(), err
}

// structOf dereferences pointers and slices to a struct type.
func structOf(t reflect.Type) (reflect.Type, bool) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t, t.Kind() == reflect.Struct
}

func keyOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
	return name
}

// fieldAt returns the struct field of a key.
func fieldAt(t reflect.Type, key []string) (reflect.StructField, bool) {
	t, ok := structOf(t)
	for i := 0; ok && i < t.NumField(); i++ {
		f := t.Field(i)
		switch {
		case keyOf(f) != key[0]:
		case len(key) == 1:
			return f, true
		default:
			return fieldAt(f.Type, key[1:])
		}
	}
	return reflect.StructField{}, false
}

// keysAt returns the keys allowed in the table of an unknown key.
func keysAt(t reflect.Type, key []string) []string {
	for len(key) > 1 {
		f, ok := fieldAt(t, key[:1])
		if !ok {
			break
		}
		t, key = f.Type, key[1:]
	}
	var keys []string
	if t, ok := structOf(t); ok {
		for i := range t.NumField() {
			if name := keyOf(t.Field(i)); name != "" && name != "-" {
				keys = append(keys, name)
			}
		}
	}
	return keys
}

// describeAllowed describes the allowed values of a field.
func describeAllowed(f reflect.StructField) string {
	t, prefix := f.Type, ""
	if t.Kind() == reflect.Slice {
		t, prefix = t.Elem(), "a list, each "
	}
	if choices := f.Tag.Get("oneof"); choices != "" {
		return prefix + strings.Join(strings.Fields(choices), ", ")
	}
	kind := map[reflect.Kind]string{reflect.Bool: "true or false", reflect.String: "text in quotes", reflect.Struct: "a table",
		reflect.Float64: "a number", reflect.Int: "a whole number", reflect.Int64: "a whole number", reflect.Uint64: "a whole number"}[t.Kind()]
	if low, high, ok := bounds(f); ok {
		if t.Kind() == reflect.Float64 || t.Kind() == reflect.Int {
			kind += fmt.Sprintf(", %v to %v", low, high)
		}
	}
	return prefix + kind
}

// bounds parses the range tag. An invalid tag is a programming error.
func bounds(f reflect.StructField) (low, high float64, ok bool) {
	tag, ok := f.Tag.Lookup("range")
	if !ok {
		return 0, 0, false
	}
	if _, err := fmt.Sscan(tag, &low, &high); err != nil {
		panic(fmt.Sprintf("field %s: invalid range tag %q", f.Name, tag))
	}
	return low, high, true
}

// checker checks ranges and choices; lines maps keys to line numbers.
type checker struct{ lines map[string]int }

func (c *checker) errorAt(path, display, problem string, f reflect.StructField) error {
	line := ""
	if n := c.lines[path]; n > 0 {
		line = fmt.Sprintf("line %d: ", n)
	}
	return fmt.Errorf("%s%s: %s; allowed: %s", line, display, problem, describeAllowed(f))
}

// check checks all fields, including absent ones: defaults must be in range as well. path contains list indexes, display
// does not.
func (c *checker) check(v reflect.Value, path, display string) error {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		name := keyOf(f)
		if name == "" || name == "-" {
			continue
		}
		p, s := path+name, display+name
		if err := c.field(v.Field(i), f, p, s); err != nil {
			return err
		}
	}
	return nil
}

func (c *checker) field(v reflect.Value, f reflect.StructField, path, display string) error {
	switch v.Kind() {
	case reflect.Struct:
		return c.check(v, path+".", display+".")
	case reflect.Slice:
		for i := range v.Len() {
			itemPath := path
			if v.Index(i).Kind() == reflect.Struct {
				itemPath = fmt.Sprintf("%s[%d]", path, i)
			}
			if err := c.field(v.Index(i), f, itemPath, display); err != nil {
				return err
			}
		}
	case reflect.String:
		if choices := strings.Fields(f.Tag.Get("oneof")); len(choices) > 0 && !slices.Contains(choices, v.String()) {
			return c.errorAt(path, display, fmt.Sprintf("%q is not known", v.String()), f)
		}
	case reflect.Float64, reflect.Int, reflect.Int64:
		n := 0.0
		if v.CanFloat() {
			n = v.Float()
		} else {
			n = float64(v.Int())
		}
		if low, high, ok := bounds(f); ok && !(n >= low && n <= high) {
			return c.errorAt(path, display, strconv.FormatFloat(n, 'g', -1, 64)+" is out of range", f)
		}
	}
	return nil
}

// keyLines returns the line number of each key; tables of a list are numbered from 0.
func keyLines(raw []byte) map[string]int {
	lines, count := map[string]int{}, map[string]int{}
	var p unstable.Parser
	p.Reset(raw)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		key, line := "", 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			if key != "" {
				key += "."
			}
			key += string(n.Data)
			line = p.Shape(n.Raw).Start.Line
		}
		switch e.Kind {
		case unstable.Table:
			table = indexedKey(key, count) + "."
			lines[strings.TrimSuffix(table, ".")] = line
		case unstable.ArrayTable:
			at := indexedKey(key, count)
			table = fmt.Sprintf("%s[%d].", at, count[at])
			lines[strings.TrimSuffix(table, ".")] = line
			count[at]++
		case unstable.KeyValue:
			lines[table+key] = line
		}
	}
	return lines
}

// indexedKey adds the current list indexes to the key of a table.
func indexedKey(key string, count map[string]int) string {
	parts := strings.Split(key, ".")
	indexed := parts[0]
	for _, part := range parts[1:] {
		if n := count[indexed]; n > 0 {
			indexed = fmt.Sprintf("%s[%d]", indexed, n-1)
		}
		indexed += "." + part
	}
	return indexed
}
