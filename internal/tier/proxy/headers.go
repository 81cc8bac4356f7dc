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

// hopByHopFields concern a single connection and are never passed on.
var hopByHopFields = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// removeHopByHopFields takes out what concerns a single connection: the fields above and those that Connection names.
// The length of a body goes with them, as each side frames bodies anew.
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

// prepareRequestHeader leaves what goes to a receiver. The id is kept even where Connection names it.
func prepareRequestHeader(header http.Header, id string) {
	removeHopByHopFields(header)
	delete(header, headerDeadline)
	delete(header, headerExpectInstance)
	delete(header, "Expect") // the body was read: nobody waits to send it
	header[headerRequestID] = []string{id}
}

// copyResponseHeader copies an answer's end-to-end fields. net/http adds a date and a type of its own where there are none,
// unless their entries are nil.
func copyResponseHeader(to, from http.Header) {
	removeHopByHopFields(from)
	for name, values := range from {
		to[name] = values
	}
	suppressDefaultHeaders(to)
}

func suppressDefaultHeaders(header http.Header) {
	for _, name := range [...]string{"Date", "Content-Type"} {
		if _, given := header[name]; !given {
			header[name] = nil
		}
	}
}
