package simwire

import (
	"errors"
	"io"
	"math"
	"strings"
	"testing"
)

func TestFields(t *testing.T) {
	r := NewReader(strings.NewReader("ATTEMPT_END Who=3 Final=1 Note= HealthInfo=0.4,,1.25 Odd=a=b\nCOMMIT"))
	l, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	row := l.Floats("HealthInfo")
	if l.Name != "ATTEMPT_END" || l.Int("Who", 0, 9) != 3 || !l.Bool("Final") || l.Optional("Odd") != "a=b" ||
		len(row) != 3 || row[0] != 0.4 || !math.IsNaN(row[1]) || row[2] != 1.25 || l.Err() != nil {
		t.Errorf("read %+v, row %v", l, row)
	}
	if l, err = r.Next(); err != nil || l.Name != "COMMIT" {
		t.Errorf("last line without a newline: %v, %v", l, err)
	}
	if _, err = r.Next(); !errors.Is(err, io.EOF) {
		t.Errorf("at the end of input: %v", err)
	}
}

func TestErrorsNameLineAndField(t *testing.T) {
	for raw, use := range map[string]func(*Line){
		"X A=x":   func(l *Line) { l.Int("A", 0, 9) },
		"X A=10":  func(l *Line) { l.Int("A", 0, 9) },
		"X":       func(l *Line) { l.Required("A") },
		"X A=":    func(l *Line) { l.Required("A") },
		"X A=2":   func(l *Line) { l.Bool("A") },
		"X A=-1":  func(l *Line) { l.OptionalFloat("A") },
		"X A=Inf": func(l *Line) { l.Floats("A") },
		"X A=-3":  func(l *Line) { l.Uint("A") },
	} {
		l, err := NewReader(strings.NewReader(raw + "\n")).Next()
		if err != nil {
			t.Fatal(err)
		}
		if use(l); l.Err() == nil || !strings.Contains(l.Err().Error(), "line 1: X: field A") {
			t.Errorf("%q: %v", raw, l.Err())
		}
	}
	for _, raw := range []string{"X A", "X  A=1", "X =1", ""} {
		if _, err := NewReader(strings.NewReader(raw + "\n")).Next(); err == nil {
			t.Errorf("%q was accepted", raw)
		}
	}
}
