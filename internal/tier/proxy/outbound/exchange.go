package outbound

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxSkippedResponses bounds how many responses to earlier requests are discarded before the expected one.
	maxSkippedResponses = 2
	// maxSkippedBodyBytes bounds the body of each discarded response.
	maxSkippedBodyBytes = 64 << 10
	// maxInterimResponses bounds how many 1xx responses may precede the final one.
	maxInterimResponses = 4
	// earlyResponseTimeout bounds the wait for a response after the receiver stopped reading the request.
	earlyResponseTimeout = 250 * time.Millisecond
	// maxRetryAfter bounds the Retry-After of a receiver.
	maxRetryAfter = time.Minute
	// maxConnectionTries bounds the tries with connections that turn out to be closed before any byte was sent.
	maxConnectionTries = 8
)

// Response is a receiver's response. Its owner reads Body up to io.EOF for the complete body, and must call Close.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1: unknown
	Body          io.Reader

	response          *http.Response
	connection        *connection
	writeDone         <-chan writeResult // result of a write still in progress; nil: none
	stopCancel        func() bool        // stops the context's AfterFunc; false: it has closed the connection
	idleTimeout       time.Duration
	discardConnection bool // the connection must not be reused
	complete          bool
}

// SetDeadline replaces the deadline of the exchange for the rest of the response.
func (r *Response) SetDeadline(deadline time.Time) { r.connection.SetDeadline(deadline) }

// Exchange sends the request to the receiver at the address and reads the head of the response. Until the response is
// closed, the end of ctx closes its connection, and the deadline bounds its reads and writes. MaybeSent of the error
// tells whether any of the request may have been sent.
func (p *Pool) Exchange(ctx context.Context, address string, request *Request, deadline time.Time) (*Response, error) {
	for try := 1; ; try++ {
		response, err := p.exchange(ctx, address, request, deadline)
		if err == nil || !errors.Is(err, errStale) || try == maxConnectionTries || ctx.Err() != nil {
			return response, err
		}
	}
}

func (p *Pool) exchange(ctx context.Context, address string, request *Request, deadline time.Time) (*Response, error) {
	c, err := p.get(ctx, address, request.Earlier, deadline)
	if err != nil {
		return nil, newError(address, false, err)
	}
	request.Earlier.add(c.number)
	c.SetDeadline(deadline)
	stopCancel := context.AfterFunc(ctx, c.close)
	response, maybeSent, err := c.roundTrip(request)
	if err != nil {
		stopCancel()
		c.close()
		return nil, newError(address, maybeSent, err)
	}
	response.stopCancel = stopCancel
	return response, nil
}

// roundTrip writes the request and reads the head of its response. maybeSent tells whether a byte may have been sent.
func (c *connection) roundTrip(request *Request) (response *Response, maybeSent bool, err error) {
	c.exchanges++
	if request.bodyLength() > maxJoinedBodyBytes {
		return c.roundTripLarge(request)
	}
	n, err := c.writeJoined(request)
	if err != nil && n == 0 {
		return nil, false, c.unsentError(err)
	}
	if err != nil {
		c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
	}
	response, readErr := c.readResponse(request)
	if readErr != nil {
		return nil, true, cmp.Or(err, readErr)
	}
	response.discardConnection = response.discardConnection || err != nil
	return response, true, nil
}

// unsentError returns the error for a write that sent nothing. A reused connection was closed by the receiver meanwhile,
// so that another connection may work: errStale makes Exchange try again.
func (c *connection) unsentError(err error) error {
	if c.exchanges > 1 {
		return errStale
	}
	return err
}

// roundTripLarge writes the body while reading, as a receiver may respond without having read all of it.
func (c *connection) roundTripLarge(request *Request) (response *Response, maybeSent bool, err error) {
	written := make(chan writeResult, 1)
	go func() {
		n, err := c.writeLarge(request)
		if err != nil {
			c.SetReadDeadline(time.Now().Add(earlyResponseTimeout))
		}
		written <- writeResult{bytes: n, err: err}
	}()
	response, err = c.readResponse(request)
	if err != nil {
		c.close()
		result := <-written
		if result.err != nil && result.bytes == 0 {
			return nil, false, c.unsentError(result.err)
		}
		return nil, true, cmp.Or(result.err, err)
	}
	response.writeDone = written
	return response, true, nil
}

// writeResult is the result of writing a request.
type writeResult struct {
	bytes int64
	err   error
}

// writeJoined sends head and body in one write.
func (c *connection) writeJoined(request *Request) (int, error) {
	buffer := headBuffers.Get().(*buffer)
	defer buffer.recycle()
	buffer.bytes = request.appendHead(buffer.bytes[:0])
	buffer.bytes = append(buffer.bytes, request.BodyPrefix...)
	buffer.bytes = append(buffer.bytes, request.Body...)
	return c.Write(buffer.bytes)
}

func (c *connection) writeLarge(request *Request) (int64, error) {
	parts := net.Buffers{request.appendHead(nil), request.BodyPrefix, request.Body}
	return parts.WriteTo(c.Conn)
}

// readResponse reads response heads up to that of the request's final response.
func (c *connection) readResponse(request *Request) (*Response, error) {
	httpRequest := &http.Request{Method: request.Method}
	skipped, interim := 0, 0
	for {
		c.headBytesLeft = maxHeadBytes
		response, err := http.ReadResponse(c.reader, httpRequest)
		c.headBytesLeft = -1
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if response.StatusCode < 200 {
			interim++
			if response.StatusCode == http.StatusSwitchingProtocols || interim > maxInterimResponses {
				return nil, errUnexpectedInterim
			}
			continue
		}
		echoed := response.Header.Get(requestIDHeader)
		if echoed != "" && echoed != request.ID {
			skipped++
			if skipped > maxSkippedResponses || !discardResponse(response) {
				return nil, errWrongRequestID
			}
			continue
		}
		if echoed == "" && request.ID != "" && !(statesNotExecuted(response) && c.exchanges == 1 && skipped == 0) {
			return nil, errNoRequestID
		}
		return c.newResponse(response, skipped > 0), nil
	}
}

// statesNotExecuted reports whether a response states that the request has not run. Only such a response may lack the
// request id, and only as the first one on its connection, where it cannot belong to another request.
func statesNotExecuted(response *http.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get("Emberquay-Not-Executed") != ""
}

// discardResponse reads and discards a response to an earlier request. It returns false if that is not possible.
func discardResponse(response *http.Response) bool {
	if !isFramed(response) {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBodyBytes+1))
	return err == nil && n <= maxSkippedBodyBytes
}

// isFramed reports whether the head determines the end of the body. Otherwise the body ends with the connection: it is
// complete if that is closed, truncated if it is reset.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked") || response.Body == http.NoBody
}

func (c *connection) newResponse(response *http.Response, discardConnection bool) *Response {
	r := &Response{
		Status:            response.StatusCode,
		Header:            response.Header,
		ContentLength:     response.ContentLength,
		response:          response,
		connection:        c,
		discardConnection: discardConnection || response.Close || response.ProtoMinor == 0,
		complete:          response.Body == http.NoBody,
		idleTimeout:       parseKeepAlive(response.Header),
	}
	r.Body = responseBody{r}
	return r
}

// responseBody reads a response's body and records that it has been read completely.
type responseBody struct{ response *Response }

func (b responseBody) Read(to []byte) (int, error) {
	n, err := b.response.response.Body.Read(to)
	if err == io.EOF {
		b.response.complete = true
	}
	return n, err
}

// Complete reports whether the body was read to its regular end.
func (r *Response) Complete() bool { return r.complete }

// Close returns the connection to the pool if the response was read completely, and otherwise closes it, which cancels
// the request. The bytes of the request are no longer used once Close has returned.
func (r *Response) Close() {
	if r.connection == nil {
		return
	}
	c := r.connection
	r.connection = nil
	if r.writeDone != nil {
		r.finishWrite(c)
	}
	if !r.stopCancel() || !r.complete || r.discardConnection || r.idleTimeout == 0 || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	c.endpoint.pool.put(c, r.idleTimeout)
}

// finishWrite waits for the goroutine that writes a large request. It interrupts an unfinished write by closing the
// connection, as the buffer of the body may soon be reused for another request.
func (r *Response) finishWrite(c *connection) {
	var result writeResult
	select {
	case result = <-r.writeDone:
	default:
		r.discardConnection = true
		c.close()
		result = <-r.writeDone
	}
	r.discardConnection = r.discardConnection || result.err != nil
}

// NotExecuted reports whether the receiver states that it did not run the request.
func (r *Response) NotExecuted() bool { return statesNotExecuted(r.response) }

// RetryAfter returns the value of the Retry-After field, in seconds with fractions; 0: none.
func (r *Response) RetryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(r.Header.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// unexpectedEOF replaces io.EOF in place of a response by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
