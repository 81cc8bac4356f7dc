package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Header fields of the protocol, in canonical form.
const (
	headerRequestID      = "Emberquay-Request-Id"
	headerDeadline       = "Emberquay-Deadline-Ms"
	headerExpectInstance = "Emberquay-Expect-Instance"
	headerInstance       = "Emberquay-Instance-Id"
	headerStamp          = "Emberquay-Server-Stamp"
	headerModel          = "Emberquay-Model-Name"
	headerTokenUsage     = "Emberquay-Token-Usage"
	headerPromptPrefix   = "Emberquay-Prompt-Prefix"
	headerProgram        = "Program"
	headerSession        = "Session"
	headerFinish         = "Finish-Ms"
	headerBudget         = "Budget"
	headerPrevious       = "Previous"
	headerLastEvent      = "Last-Event-Id"
)

// hopByHopFields apply to a single connection and are never forwarded.
var hopByHopFields = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// removeHopByHopFields removes hopByHopFields and the fields named in Connection. Content-Length is among them, as each
// connection has its own framing of the body.
func removeHopByHopFields(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHopFields {
		delete(header, name)
	}
}

// prepareRequestHeader removes the fields that are not forwarded to receivers. The request id is kept even if Connection
// names it.
func prepareRequestHeader(header http.Header, id string) {
	removeHopByHopFields(header)
	delete(header, headerDeadline)
	delete(header, headerExpectInstance)
	delete(header, "Expect") // the body has been read
	header[headerRequestID] = []string{id}
}

// copyResponseHeader copies the end-to-end fields of a receiver's response. It keeps net/http from adding Date and
// Content-Type where the receiver sent none.
func copyResponseHeader(to, from http.Header) {
	removeHopByHopFields(from)
	for name, values := range from {
		to[name] = values
	}
	suppressDefaultHeaders(to)
}

// suppressDefaultHeaders sets missing Date and Content-Type entries to nil, so that net/http does not add its own.
func suppressDefaultHeaders(header http.Header) {
	for _, name := range [...]string{"Date", "Content-Type"} {
		if _, given := header[name]; !given {
			header[name] = nil
		}
	}
}
