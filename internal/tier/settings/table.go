package settings

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// KeyError is a value that is missing or makes no sense.
type KeyError struct {
	Key    string // with its tables, as in "bounds.grace_s"
	Reason string
}

// Error gives the key and what is wrong with it.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// table reads the values of one TOML table. The first that is wrong is kept, and reading goes on with zero values.
type table struct {
	prefix string
	values map[string]any
	first  *error // shared by all tables of a file
}

func newTable(raw []byte) (*table, error) {
	values := map[string]any{}
	err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&values)
	var bad *toml.DecodeError
	if errors.As(err, &bad) {
		line, column := bad.Position()
		return nil, eris.Errorf("line %d, column %d: %s", line, column, bad.Error())
	}
	if err != nil {
		return nil, eris.Wrap(err, "this is no TOML")
	}
	return &table{values: values, first: new(error)}, nil
}

func (t *table) err() error { return *t.first }

func (t *table) fail(key, reason string, arguments ...any) {
	if *t.first != nil {
		return
	}
	*t.first = &KeyError{Key: t.prefix + key, Reason: fmt.Sprintf(reason, arguments...)}
}

// table gives the table of that name; one that is missing is empty.
func (t *table) table(key string) *table {
	inner := &table{prefix: t.prefix + key + ".", first: t.first}
	value, ok := t.values[key]
	if !ok {
		return inner
	}
	if inner.values, ok = value.(map[string]any); !ok {
		t.fail(key, "must be a table")
	}
	return inner
}

func (t *table) text(key string) string {
	value, ok := t.values[key]
	if !ok {
		return ""
	}
	text, ok := value.(string)
	if !ok {
		t.fail(key, "must be a text")
	}
	return text
}

func (t *table) requiredText(key string) string {
	if t.missing(key) {
		return ""
	}
	text := t.text(key)
	if text == "" {
		t.fail(key, "must not be empty")
	}
	return text
}

// missing says that a value that has to be there is not, and tells it.
func (t *table) missing(key string) bool {
	if _, ok := t.values[key]; ok {
		return false
	}
	t.fail(key, "is missing")
	return true
}

func (t *table) flag(key string) bool {
	value, ok := t.values[key]
	if !ok {
		return false
	}
	flag, ok := value.(bool)
	if !ok {
		t.fail(key, "must be true or false")
	}
	return flag
}

func (t *table) list(key string, required bool) ([]any, bool) {
	value, ok := t.values[key]
	if !ok {
		if required {
			t.fail(key, "is missing")
		}
		return nil, false
	}
	list, ok := value.([]any)
	if !ok {
		t.fail(key, "must be a list")
	}
	return list, ok
}

func (t *table) requiredTexts(key string) []string {
	list, ok := t.list(key, true)
	if !ok {
		return nil
	}
	texts := make([]string, 0, len(list))
	for _, value := range list {
		text, ok := value.(string)
		if !ok {
			t.fail(key, "must hold texts")
			return nil
		}
		texts = append(texts, text)
	}
	return texts
}

// textMap gives the whole table as texts by key.
func (t *table) textMap() map[string]string {
	texts := make(map[string]string, len(t.values))
	keys := make([]string, 0, len(t.values))
	for key := range t.values {
		keys = append(keys, key)
	}
	slices.Sort(keys) // so that the same file always gives the same error
	for _, key := range keys {
		texts[key] = t.text(key)
	}
	return texts
}

// number reads a whole number or a fraction that is not negative.
func (t *table) number(key string, usual float64) float64 {
	var number float64
	switch value := t.values[key].(type) {
	case nil:
		return usual
	case int64:
		number = float64(value)
	case float64:
		number = value
	default:
		t.fail(key, "must be a number")
		return usual
	}
	if math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		t.fail(key, "must be a number that is not negative")
		return usual
	}
	return number
}

// whole reads a number without a fraction, as 24 or 24.0.
func (t *table) whole(key string, usual int) int {
	number := t.number(key, float64(usual))
	if number != math.Trunc(number) || number > math.MaxInt32 {
		t.fail(key, "must be a whole number up to %d", math.MaxInt32)
		return usual
	}
	return int(number)
}

func (t *table) requiredWhole(key string) int {
	if t.missing(key) {
		return 0
	}
	return t.whole(key, 0)
}

func (t *table) duration(key string, unit, usual time.Duration) time.Duration {
	if _, ok := t.values[key]; !ok {
		return usual
	}
	seconds := t.number(key, 0) * unit.Seconds()
	if seconds > mostSeconds {
		t.fail(key, "is too long")
		return usual
	}
	return time.Duration(math.Round(seconds * float64(time.Second)))
}

func (t *table) mustBePositive(key string, number float64) {
	if number <= 0 {
		t.fail(key, "must be above 0")
	}
}
