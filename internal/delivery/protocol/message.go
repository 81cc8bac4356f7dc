package protocol

import (
	"bytes"
	"strconv"
	"strings"
)

// Section says which part of a message comes next.
type Section int

// The parts.
const (
	Head Section = iota
	Body
	UncountedBody // the body ends with the connection, or its pieces tell their own lengths
	Complete
)

// Message follows one HTTP/1.1 message through the bytes of its connection. Net/http does not show its users
// where one ended, what was left out of its head, or the first line of one that it could not read.
type Message struct {
	IsRequest      bool // else an answer
	Section        Section
	Started        bool // some of it has come
	Status         int  // of an answer; 0 before a first line that can be read
	LengthConflict bool // it has a length and pieces, so that two readers may see two bodies

	line          []byte // of the head, the present one, as far as it matters
	firstLineSeen bool   // the first line has come
	hasLength     bool   // was told
	chunked       bool
	bodyRemaining int64 // of the body
}

// maxLineBytes is as much of a line as is looked at.
const maxLineBytes = 128

// Feed follows the next bytes and says how many of them belong to the message.
func (m *Message) Feed(b []byte) int {
	at := 0
	for at < len(b) {
		switch m.Section {
		case Head:
			m.Started = true
			line, _, complete := bytes.Cut(b[at:], []byte("\n"))
			at += len(line)
			m.line = append(m.line, line[:min(len(line), maxLineBytes-len(m.line))]...)
			if complete {
				at++
				m.parseLine(strings.TrimSuffix(string(m.line), "\r"))
				m.line = m.line[:0]
			}
		case Body:
			count := min(int64(len(b)-at), m.bodyRemaining)
			at += int(count)
			if m.bodyRemaining -= count; m.bodyRemaining == 0 {
				m.Section = Complete
			}
		case UncountedBody:
			return len(b)
		default:
			return at
		}
	}
	return at
}

// parseLine takes one line of the head.
func (m *Message) parseLine(line string) {
	name, value, _ := strings.Cut(line, ":")
	switch {
	case !m.firstLineSeen:
		m.firstLineSeen = true
		m.Status = parseStatus(line)
	case strings.EqualFold(name, "Transfer-Encoding"):
		m.chunked = true
	case strings.EqualFold(name, "Content-Length"):
		m.hasLength = true
		if n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); err == nil {
			m.bodyRemaining = max(0, n)
		}
	case line == "":
		m.endHead()
	}
}

func (m *Message) endHead() {
	m.LengthConflict = m.hasLength && m.chunked
	bodiless := m.Status >= 100 && m.Status < 200 && m.Status != 101 || m.Status == 204 || m.Status == 304
	switch {
	case bodiless:
		m.Section = Complete
	case m.chunked, !m.hasLength && !m.IsRequest:
		m.Section = UncountedBody
	case m.bodyRemaining == 0:
		m.Section = Complete
	default:
		m.Section = Body
	}
}

// parseStatus reads the first line of an answer; 0 if it makes no sense.
func parseStatus(line string) int {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, err := strconv.Atoi(code)
	if !strings.HasPrefix(version, "HTTP/1.") || len(code) != 3 || err != nil || n < 100 {
		return 0
	}
	return n
}
