// Package simwire reads and writes the lines of the wire onyx-7696.
//
// A line is a name and then field=value pairs, set apart by single spaces. A
// reading fault is told once, with the number of the line and the field.
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

// Reader takes lines off the wire, however long they are.
type Reader struct {
	in         *bufio.Reader
	lineNumber int
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, 1<<20)} }

// Next gives the next line; io.EOF at a clean end of input.
func (r *Reader) Next() (*Line, error) {
	raw, err := r.in.ReadString('\n')
	if err != nil && (raw == "" || !errors.Is(err, io.EOF)) {
		return nil, err
	}
	r.lineNumber++
	return parse(strings.TrimSuffix(raw, "\n"), r.lineNumber)
}

// Line is one message; its getters note the first fault, which Err returns.
type Line struct {
	Name   string
	Number int
	Fields []Field
	err    error
}

// Field is one name=value pair as it stood on the line.
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
			return nil, fmt.Errorf("line %d: %s: %q is no field=value", number, l.Name, p)
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

// RecordError records what is wrong with a field, unless something already was.
func (l *Line) RecordError(field, what string) {
	if l.err == nil {
		l.err = fmt.Errorf("line %d: %s: field %s: %s", l.Number, l.Name, field, what)
	}
}

// Err is the first fault found in the line.
func (l *Line) Err() error { return l.err }

// Required gives a field that must be there.
func (l *Line) Required(name string) string {
	v, ok := l.lookup(name)
	if !ok || v == "" {
		l.RecordError(name, "missing")
	}
	return v
}

// Optional gives a field that may be absent.
func (l *Line) Optional(name string) string {
	v, _ := l.lookup(name)
	return v
}

// Int gives a whole number that must be there, within [low, high].
func (l *Line) Int(name string, low, high int64) int64 {
	v := l.Required(name)
	if l.err != nil {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < low || n > high {
		l.RecordError(name, fmt.Sprintf("%q is no whole number from %d to %d", v, low, high))
	}
	return n
}

// OptionalInt is Whole with nought for an absent field.
func (l *Line) OptionalInt(name string, low, high int64) int64 {
	if l.Optional(name) == "" {
		return 0
	}
	return l.Int(name, low, high)
}

// Uint gives an unsigned whole number that must be there.
func (l *Line) Uint(name string) uint64 {
	n, err := strconv.ParseUint(l.Required(name), 10, 64)
	if err != nil {
		l.RecordError(name, "no whole number")
	}
	return n
}

// Bool gives a bool; an absent one is false.
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

// OptionalFloat gives a finite number of nought or more; an absent one is nought.
func (l *Line) OptionalFloat(name string) float64 {
	v := l.Optional(name)
	if v == "" {
		return 0
	}
	return l.parseFloat(name, v)
}

// Floats gives a comma-joined row; what is left empty is NaN.
func (l *Line) Floats(name string) []float64 {
	v := l.Optional(name)
	if v == "" {
		return nil
	}
	var row []float64
	for _, p := range strings.Split(v, ",") {
		n := math.NaN()
		if p != "" {
			n = l.parseFloat(name, p)
		}
		row = append(row, n)
	}
	return row
}

func (l *Line) parseFloat(name, v string) float64 {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 || math.IsInf(n, 0) || math.IsNaN(n) {
		l.RecordError(name, fmt.Sprintf("%q is no number of nought or more", v))
	}
	return n
}
