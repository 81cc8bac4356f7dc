package routing

import (
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

// KeyError is a value that is missing or makes no sense.
type KeyError struct {
	Key    string // as in "routes[r-old].timeout_ms"; empty where the text as a whole is meant
	Reason string
}

// Error gives the key and what is wrong with it.
func (e *KeyError) Error() string {
	if e.Key == "" {
		return e.Reason
	}
	return e.Key + ": " + e.Reason
}

// mostNumber bounds all numbers: whole ones up to here are exact in JSON as all read it.
const mostNumber = 1 << 53

// mostSeconds keeps a duration inside time.Duration: over 30 years.
const mostSeconds = 1e9

// object reads the values of one JSON object. The first that is wrong is kept, and reading goes on with zero values.
type object struct {
	path   string // empty at the top
	values map[string]gjson.Result
	first  *error // shared by all objects of a text
}

// newDocument reads the top object of a text that stands for itself: nothing may come before or after it.
func newDocument(body []byte) (*object, error) {
	if len(body) > MaxBodyBytes {
		return nil, &KeyError{Reason: fmt.Sprintf("%d bytes, %d at most", len(body), MaxBodyBytes)}
	}
	if !utf8.Valid(body) {
		return nil, &KeyError{Reason: "this is no UTF-8"}
	}
	if depth(body) > maxDepth {
		return nil, &KeyError{Reason: fmt.Sprintf("nested deeper than %d levels", maxDepth)}
	}
	if !gjson.ValidBytes(body) {
		return nil, &KeyError{Reason: "this is no whole JSON document"}
	}
	top := &object{first: new(error)}
	top.fill(gjson.ParseBytes(body))
	return top, top.err()
}

// depth gives how deep brackets nest. What is no JSON may give anything.
func depth(body []byte) int {
	deepest, now := 0, 0
	quoted := false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			now++
			deepest = max(deepest, now)
		case c == '}' || c == ']':
			now--
		}
	}
	return deepest
}

// fill takes the object's keys. A key that stands there twice would be read one way by some and another by others.
func (o *object) fill(value gjson.Result) {
	if !value.IsObject() {
		o.failWhole("must be an object")
		return
	}
	o.values = map[string]gjson.Result{}
	value.ForEach(func(key, value gjson.Result) bool {
		if _, twice := o.values[key.Str]; twice {
			o.fail(key.Str, "stands there twice")
			return false
		}
		o.values[key.Str] = value
		return true
	})
}

func (o *object) err() error { return *o.first }

func (o *object) fail(key, reason string, arguments ...any) {
	if *o.first == nil {
		*o.first = &KeyError{Key: o.keyPath(key), Reason: fmt.Sprintf(reason, arguments...)}
	}
}

func (o *object) failWhole(reason string) {
	if *o.first == nil {
		*o.first = &KeyError{Key: o.path, Reason: reason}
	}
}

func (o *object) keyPath(key string) string {
	if o.path == "" {
		return key
	}
	return o.path + "." + key
}

// has says whether there is a value; null is none.
func (o *object) has(key string) bool {
	value, ok := o.values[key]
	return ok && value.Type != gjson.Null
}

// keys gives the object's keys in order of the alphabet; no object has none.
func (o *object) keys() []string {
	if o == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(o.values))
}

// object gives the object of that name, or nil where there is none.
func (o *object) object(key string) *object {
	if !o.has(key) {
		return nil
	}
	inner := &object{path: o.keyPath(key), first: o.first}
	inner.fill(o.values[key])
	return inner
}

// objects gives a list of objects. Those that have a name are told by it in errors, the others by their place.
func (o *object) objects(key string) []*object {
	var list []*object
	for i, value := range o.list(key) {
		item := &object{path: fmt.Sprintf("%s[%d]", o.keyPath(key), i), first: o.first}
		if name := value.Get("name"); name.Type == gjson.String && name.Str != "" {
			item.path = fmt.Sprintf("%s[%s]", o.keyPath(key), name.Str)
		}
		item.fill(value)
		list = append(list, item)
	}
	return list
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

func (o *object) texts(key string) []string {
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

// text gives a copy, so that the whole document need not stay in memory for a name.
func (o *object) text(key string) string {
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

func (o *object) requiredText(key string) string {
	text := o.text(key)
	if text == "" {
		o.fail(key, "is missing or empty")
	}
	return text
}

func (o *object) flag(key string) bool {
	if !o.has(key) {
		return false
	}
	value := o.values[key]
	if !value.IsBool() {
		o.fail(key, "must be true or false")
	}
	return value.Bool()
}

// number reads a whole number or a fraction that is not negative.
func (o *object) number(key string, usual float64) float64 {
	if !o.has(key) {
		return usual
	}
	value := o.values[key]
	if value.Type != gjson.Number {
		o.fail(key, "must be a number")
		return usual
	}
	number, err := strconv.ParseFloat(value.Raw, 64)
	if err != nil || number < 0 || number > mostNumber {
		o.fail(key, "must be a number from 0 to %d", int64(mostNumber))
		return usual
	}
	return number
}

// whole reads a number without a fraction, as 24 or 24.0.
func (o *object) whole(key string, usual int) int {
	number := o.number(key, float64(usual))
	if number != math.Trunc(number) {
		o.fail(key, "must be a whole number")
		return usual
	}
	return int(number)
}

func (o *object) duration(key string, unit, usual time.Duration) time.Duration {
	if !o.has(key) {
		return usual
	}
	seconds := o.number(key, 0) * unit.Seconds()
	if seconds > mostSeconds {
		o.fail(key, "is too long")
		return usual
	}
	return time.Duration(math.Round(seconds * float64(time.Second)))
}
