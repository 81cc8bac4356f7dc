package routing

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tidwall/gjson"
)

// KeyError reports a missing or invalid value.
type KeyError struct {
	Key    string // as in "routes[r-old].timeout_ms"; empty for the document as a whole
	Reason string
}

// Error returns the key and the reason.
func (e *KeyError) Error() string {
	if e.Key == "" {
		return e.Reason
	}
	return e.Key + ": " + e.Reason
}

// maxNumber limits all numbers: integers up to it are exact in every JSON parser.
const maxNumber = 1 << 53

// maxSeconds limits durations to the range of time.Duration; it is over 30 years.
const maxSeconds = 1e9

// object reads the values of one JSON object. It keeps the first error and continues with default values.
type object struct {
	path     string // empty for the top-level object
	values   map[string]gjson.Result
	order    []string // of the top-level object: its keys in the order of the text
	firstErr *error   // shared by all objects of a document
}

// newDocument reads the top-level object of a JSON document; nothing but white space may surround it.
func newDocument(body []byte) (*object, error) {
	if len(body) > MaxBodyBytes {
		return nil, &KeyError{Reason: fmt.Sprintf("%d bytes, %d at most", len(body), MaxBodyBytes)}
	}
	if !utf8.Valid(body) {
		return nil, &KeyError{Reason: "this is no UTF-8"}
	}
	if nestingDepth(body) > maxDepth {
		return nil, &KeyError{Reason: fmt.Sprintf("nested deeper than %d levels", maxDepth)}
	}
	if !gjson.ValidBytes(body) {
		return nil, &KeyError{Reason: "this is no whole JSON document"}
	}
	top := &object{firstErr: new(error)}
	top.readKeys(gjson.ParseBytes(body))
	return top, top.err()
}

// copy returns an object with the same values and no error.
func (o *object) copy() *object {
	return &object{path: o.path, values: o.values, order: o.order, firstErr: new(error)}
}

// nestingDepth returns the nesting depth of brackets. Its result has no meaning for a text that is not valid JSON.
func nestingDepth(body []byte) int {
	deepest, level := 0, 0
	for i := 0; i < len(body); i++ {
		switch body[i] {
		case '"':
			i += stringLength(body[i+1:])
		case '{', '[':
			level++
			deepest = max(deepest, level)
		case '}', ']':
			level--
		}
	}
	return deepest
}

// stringLength returns the length of a string's text with its closing quote, all of the text if there is none.
func stringLength(text []byte) int {
	for at := 0; ; {
		quote := bytes.IndexByte(text[at:], '"')
		if quote < 0 {
			return len(text)
		}
		end := at + quote
		backslashes := 0
		for end-backslashes > 0 && text[end-backslashes-1] == '\\' {
			backslashes++
		}
		at = end + 1
		if backslashes%2 == 0 {
			return at
		}
	}
}

// readKeys reads the object's keys and refuses a duplicate key, since JSON parsers differ in which of its values they
// take.
func (o *object) readKeys(value gjson.Result) {
	if !value.IsObject() {
		o.failObject("must be an object")
		return
	}
	o.values = map[string]gjson.Result{}
	value.ForEach(func(key, value gjson.Result) bool {
		if _, twice := o.values[key.Str]; twice {
			o.fail(key.Str, "stands there twice")
			return false
		}
		o.values[key.Str] = value
		if o.path == "" {
			o.order = append(o.order, key.Str)
		}
		return true
	})
}

func (o *object) err() error { return *o.firstErr }

func (o *object) fail(key, reason string, args ...any) {
	if *o.firstErr == nil {
		*o.firstErr = &KeyError{Key: o.keyPath(key), Reason: fmt.Sprintf(reason, args...)}
	}
}

func (o *object) failObject(reason string) {
	if *o.firstErr == nil {
		*o.firstErr = &KeyError{Key: o.path, Reason: reason}
	}
}

func (o *object) keyPath(key string) string {
	if o.path == "" {
		return key
	}
	return o.path + "." + key
}

// has reports whether the key has a value other than null.
func (o *object) has(key string) bool {
	value, ok := o.values[key]
	return ok && value.Type != gjson.Null
}

// keys returns the sorted keys of the object; a nil object has none.
func (o *object) keys() []string {
	if o == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(o.values))
}

// object returns the object under that key, or nil if there is none.
func (o *object) object(key string) *object {
	if !o.has(key) {
		return nil
	}
	inner := &object{path: o.keyPath(key), firstErr: o.firstErr}
	inner.readKeys(o.values[key])
	return inner
}

// objects returns a list of objects. Errors identify an object by its name, or by its index where it has none.
func (o *object) objects(key string) []*object {
	var list []*object
	for i, value := range o.list(key) {
		list = append(list, o.item(key, i, value))
	}
	return list
}

// item returns the object at an index of the list under that key.
func (o *object) item(key string, index int, value gjson.Result) *object {
	item := &object{path: fmt.Sprintf("%s[%d]", o.keyPath(key), index), firstErr: o.firstErr}
	if name := value.Get("name"); name.Type == gjson.String && name.Str != "" {
		item.path = fmt.Sprintf("%s[%s]", o.keyPath(key), name.Str)
	}
	item.readKeys(value)
	return item
}

func (o *object) list(key string) []gjson.Result {
	if !o.has(key) {
		return nil
	}
	value := o.values[key]
	if !value.IsArray() {
		o.fail(key, "must be a list")
		return nil
	}
	return value.Array()
}

func (o *object) stringList(key string) []string {
	var texts []string
	for _, value := range o.list(key) {
		if value.Type != gjson.String {
			o.fail(key, "must hold texts")
			return nil
		}
		texts = append(texts, strings.Clone(value.Str))
	}
	return texts
}

// optionalString returns a copy, so that a name does not keep the whole document in memory.
func (o *object) optionalString(key string) string {
	if !o.has(key) {
		return ""
	}
	value := o.values[key]
	if value.Type != gjson.String {
		o.fail(key, "must be a text")
		return ""
	}
	return strings.Clone(value.Str)
}

func (o *object) requiredString(key string) string {
	text := o.optionalString(key)
	if text == "" {
		o.fail(key, "is missing or empty")
	}
	return text
}

func (o *object) boolean(key string) bool {
	if !o.has(key) {
		return false
	}
	value := o.values[key]
	if !value.IsBool() {
		o.fail(key, "must be true or false")
	}
	return value.Bool()
}

// number reads a number that is not negative.
func (o *object) number(key string, fallback float64) float64 {
	if !o.has(key) {
		return fallback
	}
	value := o.values[key]
	if value.Type != gjson.Number {
		o.fail(key, "must be a number")
		return fallback
	}
	number, err := strconv.ParseFloat(value.Raw, 64)
	if err != nil || number < 0 || number > maxNumber {
		o.fail(key, "must be a number from 0 to %d", int64(maxNumber))
		return fallback
	}
	return number
}

// integer reads a number without a fraction, such as 24 or 24.0.
func (o *object) integer(key string, fallback int) int {
	number := o.number(key, float64(fallback))
	if number != math.Trunc(number) {
		o.fail(key, "must be a whole number")
		return fallback
	}
	return int(number)
}

func (o *object) duration(key string, unit, fallback time.Duration) time.Duration {
	if !o.has(key) {
		return fallback
	}
	seconds := o.number(key, 0) * unit.Seconds()
	if seconds > maxSeconds {
		o.fail(key, "is too long")
		return fallback
	}
	return time.Duration(math.Round(seconds * float64(time.Second)))
}
