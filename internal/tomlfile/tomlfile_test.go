package tomlfile

import (
	"strings"
	"testing"
)

type inner struct {
	Name string  `toml:"name" oneof:"red blue"`
	Size float64 `toml:"size" range:"0 10" comment:"metres"`
}

type outer struct {
	Count int       `toml:"count" range:"1 5"`
	On    bool      `toml:"on"`
	Row   []float64 `toml:"row" range:"0 1"`
	Deep  inner     `toml:"deep"`
	Many  []inner   `toml:"many"`
}

func newDefaults() *outer { return &outer{Count: 2, Deep: inner{Name: "red", Size: 1}} }

// Each kind of error names its line, its key and the allowed values.
func TestErrorsNameLineKeyAndAllowedValues(t *testing.T) {
	for text, want := range map[string]string{
		"count = 1\ncolour = 3":    "line 2: colour: this key is not known; allowed: count, on, row, deep, many",
		"[deep]\nsice = 1":         "line 2: deep.sice: this key is not known; allowed: name, size",
		"count = \"two\"":          "line 1: count: the value has the wrong type; allowed: a whole number, 1 to 5",
		"count = 1.5":              "line 1: count: the value has the wrong type; allowed: a whole number, 1 to 5",
		"\non = 1":                 "line 2: on: the value has the wrong type; allowed: true or false",
		"count = 6":                "line 1: count: 6 is out of range; allowed: a whole number, 1 to 5",
		"[deep]\nname = \"green\"": `line 2: deep.name: "green" is not known; allowed: red, blue`,
		"row = [0.5, 2.0]":         "line 1: row: 2 is out of range; allowed: a list, each a number, 0 to 1",
		"[[many]]\nname=\"red\"\n[[many]]\nname=\"blue\"\nsize = 11": "line 5: many.size: 11 is out of range; allowed: a number, 0 to 10",
		"[deep]\nsize = nan":   "line 2: deep.size: NaN is out of range; allowed: a number, 0 to 10",
		"count = ":             "line 1: ",
		"count = 1\ncount = 2": "line 2: ",
	} {
		if err := Decode([]byte(text), newDefaults()); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

func TestAbsentKeysKeepDefaults(t *testing.T) {
	o := newDefaults()
	if err := Decode([]byte("row = [0, 1]\n[deep]\nsize = 3"), o); err != nil || o.Count != 2 || o.Deep != (inner{"red", 3}) || len(o.Row) != 2 {
		t.Errorf("%+v %v", o, err)
	}
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	raw, err := Encode(newDefaults())
	if err != nil || !strings.Contains(string(raw), "# metres") {
		t.Fatalf("%s %v", raw, err)
	}
	if err := Decode(raw, &outer{}); err != nil {
		t.Error(err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("count = 1\n[[many]]\nname='red'\n[many.x]\n[deep]\nsize=3"))
	f.Fuzz(func(t *testing.T, raw []byte) { Decode(raw, newDefaults()) }) // must not panic
}
