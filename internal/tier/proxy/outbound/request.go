package outbound

import (
	"net/http"
	"strconv"
	"sync"
)

// requestIDHeader names the request; receivers echo it in their answers.
const requestIDHeader = "Emberquay-Request-Id"

// Request is what goes to a receiver. Target is the request target as the client sent it. Header holds end-to-end
// fields only; the framing of the body is written by this package.
type Request struct {
	ID          string // its answer must echo it; "" for the system's own questions, whose answers name none
	Method      string
	Target      string
	Host        string
	Header      http.Header
	ExtraFields []HeaderField // written in addition to Header, which may be shared
	BodyPrefix  []byte        // goes in front of Body, as part of the same body
	Body        []byte
	HasBody     bool // a body was announced, even one of no bytes
}

func (r *Request) length() int { return len(r.BodyPrefix) + len(r.Body) }

// HeaderField is one header field.
type HeaderField struct{ Name, Value string }

// joinedBody is the size up to which a body is copied behind the head, to leave in one write.
const joinedBody = 32 << 10

type buffer struct{ bytes []byte }

var heads = sync.Pool{New: func() any { return &buffer{bytes: make([]byte, 0, 2<<10)} }}

// recycle gives a buffer back unless it grew past what is worth keeping.
func (b *buffer) recycle() {
	if cap(b.bytes) <= joinedBody*2 {
		b.bytes = b.bytes[:0]
		heads.Put(b)
	}
}

// appendHead writes the request's head. Fields come as net/http's server read them, which refuses line breaks.
func (r *Request) appendHead(to []byte) []byte {
	to = append(to, r.Method...)
	to = append(to, ' ')
	to = append(to, r.Target...)
	to = append(to, " HTTP/1.1\r\n"...)
	to = appendField(to, "Host", r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			to = appendField(to, name, value)
		}
	}
	for _, field := range r.ExtraFields {
		to = appendField(to, field.Name, field.Value)
	}
	if r.HasBody || r.length() > 0 {
		to = append(to, "Content-Length: "...)
		to = strconv.AppendInt(to, int64(r.length()), 10)
		to = append(to, "\r\n"...)
	}
	return append(to, "\r\n"...)
}

func appendField(to []byte, name, value string) []byte {
	to = append(to, name...)
	to = append(to, ": "...)
	to = append(to, value...)
	return append(to, "\r\n"...)
}
