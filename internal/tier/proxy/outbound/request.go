package outbound

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
)

// requestIDHeader carries the request id; receivers echo it in their responses.
const requestIDHeader = "Emberquay-Request-Id"

// Request is a request to a receiver. Target is the request target as the client sent it. Header holds end-to-end
// fields only; this package writes the framing of the body.
type Request struct {
	ID          string // the response must echo it; "" for the proxy's own requests, whose responses carry no id
	Method      string
	Target      string
	Host        string
	Header      http.Header
	ExtraFields []HeaderField // written in addition to Header, which may be shared
	BodyPrefix  []byte        // sent in front of Body, as part of the same body
	Body        []byte
	HasBody     bool // Content-Length is sent even if the body is empty
	// Earlier are the connections that carried earlier exchanges of the request with this id; nil: none, and none is recorded.
	Earlier *Connections
}

// Connections is a set of connections that carried exchanges of one request. A receiver may send the answer to one of these
// once more, later; it has the request's id, and on the same connection it would be taken for the answer to the next
// exchange. So Exchange chooses none of them, and adds the one that it uses. The zero value is empty. It is not safe for
// concurrent use.
type Connections struct{ numbers []uint64 }

func (c *Connections) contains(number uint64) bool {
	return c != nil && slices.Contains(c.numbers, number)
}

func (c *Connections) add(number uint64) {
	if c != nil {
		c.numbers = append(c.numbers, number)
	}
}

func (r *Request) bodyLength() int { return len(r.BodyPrefix) + len(r.Body) }

// HeaderField is a header field.
type HeaderField struct{ Name, Value string }

// maxJoinedBodyBytes is the size up to which a body is copied after the head, to be sent in one write.
const maxJoinedBodyBytes = 32 << 10

type buffer struct{ bytes []byte }

var headBuffers = sync.Pool{New: func() any { return &buffer{bytes: make([]byte, 0, 2<<10)} }}

// recycle returns a buffer to the pool unless it has grown too large.
func (b *buffer) recycle() {
	if cap(b.bytes) <= maxJoinedBodyBytes*2 {
		b.bytes = b.bytes[:0]
		headBuffers.Put(b)
	}
}

// appendHead appends the request's head. The fields were read by net/http's server, which rejects line breaks in them.
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
	if r.HasBody || r.bodyLength() > 0 {
		to = append(to, "Content-Length: "...)
		to = strconv.AppendInt(to, int64(r.bodyLength()), 10)
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
