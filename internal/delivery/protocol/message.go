package protocol

import (
	"bytes"
	"strconv"
	"strings"
)

// Section is the part of a message that comes next.
type Section int

// The sections.
const (
	Head Section = iota
	Body
	UncountedBody // ends with the connection, or is chunked
	Complete
)

// Message follows one HTTP/1.1 message in the bytes of its connection. Package net/http does not tell where a message
// ended, which headers were dropped, or the first line of a message that it could not parse.
type Message struct {
	IsRequest      bool // else a response
	Section        Section
	Started        bool // some bytes were received
	Status         int  // of a response; 0 before a valid first line
	LengthConflict bool // both Content-Length and Transfer-Encoding: two readers may see different bodies

	line          []byte // start of the current header line
	firstLineSeen bool
	hasLength     bool // Content-Length was received
	chunked       bool
	bodyRemaining int64
}

// maxLineBytes is how much of a header line is examined.
const maxLineBytes = 128

// Feed processes the next bytes and returns how many of them belong to the message.
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

// parseLine parses one line of the header.
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

// parseStatus parses the first line of a response; 0 if it is invalid.
func parseStatus(line string) int {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, err := strconv.Atoi(code)
	if !strings.HasPrefix(version, "HTTP/1.") || len(code) != 3 || err != nil || n < 100 {
		return 0
	}
	return n
}
