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

// KeyError reports a missing or invalid value.
type KeyError struct {
	Key    string // with its tables, as in "bounds.grace_s"
	Reason string
}

// Error returns the key and the reason.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// table reads the values of one TOML table. It keeps the first error and continues with default values.
type table struct {
	prefix   string
	values   map[string]any
	firstErr *error // shared by all tables of a file
}

func newTable(raw []byte) (*table, error) {
	values := map[string]any{}
	err := toml.NewDecoder(bytes.NewReader(raw)).Decode(&values)
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, column := decodeErr.Position()
		return nil, eris.Errorf("line %d, column %d: %s", line, column, decodeErr.Error())
	}
	if err != nil {
		return nil, eris.Wrap(err, "invalid TOML")
	}
	return &table{values: values, firstErr: new(error)}, nil
}

func (t *table) err() error { return *t.firstErr }

func (t *table) fail(key, reason string, args ...any) {
	if *t.firstErr != nil {
		return
	}
	*t.firstErr = &KeyError{Key: t.prefix + key, Reason: fmt.Sprintf(reason, args...)}
}

// table returns the table under that key; a missing one is empty.
func (t *table) table(key string) *table {
	inner := &table{prefix: t.prefix + key + ".", firstErr: t.firstErr}
	value, ok := t.values[key]
	if !ok {
		return inner
	}
	if inner.values, ok = value.(map[string]any); !ok {
		t.fail(key, "must be a table")
	}
	return inner
}

func (t *table) optionalString(key string) string {
	value, ok := t.values[key]
	if !ok {
		return ""
	}
	text, ok := value.(string)
	if !ok {
		t.fail(key, "must be a string")
	}
	return text
}

func (t *table) requiredString(key string) string {
	if t.reportMissing(key) {
		return ""
	}
	text := t.optionalString(key)
	if text == "" {
		t.fail(key, "must not be empty")
	}
	return text
}

// reportMissing reports whether a required value is missing, and records the error if it is.
func (t *table) reportMissing(key string) bool {
	if _, ok := t.values[key]; ok {
		return false
	}
	t.fail(key, "is missing")
	return true
}

func (t *table) boolean(key string) bool {
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

func (t *table) requiredStrings(key string) []string {
	list, ok := t.list(key, true)
	if !ok {
		return nil
	}
	texts := make([]string, 0, len(list))
	for _, value := range list {
		text, ok := value.(string)
		if !ok {
			t.fail(key, "must be a list of strings")
			return nil
		}
		texts = append(texts, text)
	}
	return texts
}

// stringMap returns the whole table as strings by key.
func (t *table) stringMap() map[string]string {
	texts := make(map[string]string, len(t.values))
	keys := make([]string, 0, len(t.values))
	for key := range t.values {
		keys = append(keys, key)
	}
	slices.Sort(keys) // so that the same file always gives the same error
	for _, key := range keys {
		texts[key] = t.optionalString(key)
	}
	return texts
}

// number reads an integer or a float that is not negative.
func (t *table) number(key string, fallback float64) float64 {
	var number float64
	switch value := t.values[key].(type) {
	case nil:
		return fallback
	case int64:
		number = float64(value)
	case float64:
		number = value
	default:
		t.fail(key, "must be a number")
		return fallback
	}
	if math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		t.fail(key, "must be a number that is not negative")
		return fallback
	}
	return number
}

// integer reads a number without a fraction, such as 24 or 24.0.
func (t *table) integer(key string, fallback int) int {
	number := t.number(key, float64(fallback))
	if number != math.Trunc(number) || number > math.MaxInt32 {
		t.fail(key, "must be a whole number up to %d", math.MaxInt32)
		return fallback
	}
	return int(number)
}

func (t *table) requiredInteger(key string) int {
	if t.reportMissing(key) {
		return 0
	}
	return t.integer(key, 0)
}

func (t *table) duration(key string, unit, fallback time.Duration) time.Duration {
	if _, ok := t.values[key]; !ok {
		return fallback
	}
	seconds := t.number(key, 0) * unit.Seconds()
	if seconds > maxSeconds {
		t.fail(key, "is too long")
		return fallback
	}
	return time.Duration(math.Round(seconds * float64(time.Second)))
}

func (t *table) requirePositive(key string, number float64) {
	if number <= 0 {
		t.fail(key, "must be above 0")
	}
}
