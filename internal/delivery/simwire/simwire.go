// Package simwire reads the lines of the simulator's wire format onyx-7696.
//
// A line is a name and then field=value pairs, separated by single spaces. Only the
// first error of a line is reported, with the number of the line and the field.
package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
)

// Reader reads lines of any length.
type Reader struct {
	in         *bufio.Reader
	lineNumber int
}

// NewReader returns a reader for r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<20)} }

// Next returns the next line; io.EOF at the end of input.
func (r *Reader) Next() (*Line, error) {
	raw, err := r.in.ReadString('\n')
	if err != nil && (raw == "" || !errors.Is(err, io.EOF)) {
		return nil, err
	}
	r.lineNumber++
	return parse(strings.TrimSuffix(raw, "\n"), r.lineNumber)
}

// Line is one message; its getters store the first error, which Err returns.
type Line struct {
	Name   string
	Number int
	Fields []Field
	err    error
}

// Field is one name=value pair as received.
type Field struct{ Name, Value string }

func parse(raw string, number int) (*Line, error) {
	parts := strings.Split(raw, " ")
	l := &Line{Name: parts[0], Number: number, Fields: make([]Field, 0, len(parts)-1)}
	if l.Name == "" {
		return nil, fmt.Errorf("line %d: no message name", number)
	}
	for _, p := range parts[1:] {
		name, value, ok := strings.Cut(p, "=")
		if !ok || name == "" {
			return nil, fmt.Errorf("line %d: %s: %q is not field=value", number, l.Name, p)
		}
		l.Fields = append(l.Fields, Field{name, value})
	}
	return l, nil
}

func (l *Line) lookup(name string) (string, bool) {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return "", false
}

// RecordError stores what is wrong with a field, unless an error was stored before.
func (l *Line) RecordError(field, what string) {
	if l.err == nil {
		l.err = fmt.Errorf("line %d: %s: field %s: %s", l.Number, l.Name, field, what)
	}
}

// Err returns the first error found in the line.
func (l *Line) Err() error { return l.err }

// Required returns the value of a required field.
func (l *Line) Required(name string) string {
	v, ok := l.lookup(name)
	if !ok || v == "" {
		l.RecordError(name, "missing")
	}
	return v
}

// Optional returns the value of an optional field.
func (l *Line) Optional(name string) string {
	v, _ := l.lookup(name)
	return v
}

// Int returns the required integer of a field, within [low, high].
func (l *Line) Int(name string, low, high int64) int64 {
	v := l.Required(name)
	if l.err != nil {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < low || n > high {
		l.RecordError(name, fmt.Sprintf("%q is not an integer from %d to %d", v, low, high))
	}
	return n
}

// OptionalInt is Int with 0 for an absent field.
func (l *Line) OptionalInt(name string, low, high int64) int64 {
	if l.Optional(name) == "" {
		return 0
	}
	return l.Int(name, low, high)
}

// Uint returns the required unsigned integer of a field.
func (l *Line) Uint(name string) uint64 {
	n, err := strconv.ParseUint(l.Required(name), 10, 64)
	if err != nil {
		l.RecordError(name, "not an unsigned integer")
	}
	return n
}

// Bool returns the flag of a field; an absent one is false.
func (l *Line) Bool(name string) bool {
	switch v := l.Optional(name); v {
	case "1":
		return true
	case "", "0":
		return false
	default:
		l.RecordError(name, fmt.Sprintf("%q is neither 1 nor 0", v))
		return false
	}
}

// OptionalFloat returns the finite non-negative number of a field; an absent one is 0.
func (l *Line) OptionalFloat(name string) float64 {
	v := l.Optional(name)
	if v == "" {
		return 0
	}
	return l.parseFloat(name, v)
}

// Floats returns a comma-separated list of numbers; an empty element is NaN.
func (l *Line) Floats(name string) []float64 {
	v := l.Optional(name)
	if v == "" {
		return nil
	}
	var numbers []float64
	for _, p := range strings.Split(v, ",") {
		n := math.NaN()
		if p != "" {
			n = l.parseFloat(name, p)
		}
		numbers = append(numbers, n)
	}
	return numbers
}

func (l *Line) parseFloat(name, v string) float64 {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 || math.IsInf(n, 0) || math.IsNaN(n) {
		l.RecordError(name, fmt.Sprintf("%q is not a finite non-negative number", v))
	}
	return n
}
