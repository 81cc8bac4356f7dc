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
	// maxForeign is how many answers to earlier requests are read away before the one that is due.
	maxForeign = 2
	// maxForeignBody bounds the body of each.
	maxForeignBody = 64 << 10
	// maxInterim is how many 1xx answers may come before the final one.
	maxInterim = 4
	// earlyAnswerWait is how long an answer is waited for after the receiver stopped reading the request.
	earlyAnswerWait = 250 * time.Millisecond
	// maxRetryAfter bounds the wait that a receiver may tell.
	maxRetryAfter = time.Minute
	// freshTries bounds how often a connection is taken that turns out to be over before a byte of the request left.
	freshTries = 8
)

// Response is a receiver's answer. Its owner reads Body to io.EOF for the whole, and calls Close once in any case.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // of the body; -1: not told in advance
	Body          io.Reader

	response   *http.Response
	connection *connection
	written    <-chan writeResult // of a request that may still be written; nil: it is
	detach     func() bool        // ends the watch over the context; false: it has closed the connection
	idleFor    time.Duration
	tainted    bool // the connection is not kept
	whole      bool
}

// SetDeadline gives the rest of the answer until another deadline than the exchange had.
func (a *Response) SetDeadline(deadline time.Time) { a.connection.SetDeadline(deadline) }

// Exchange sends the request to the receiver at the address and reads the head of the answer. Until the answer is
// closed, the end of ctx or the deadline ends its connection. An error says through MaybeSent whether any of it may have left.
func (p *Pool) Exchange(ctx context.Context, address string, request *Request, deadline time.Time) (*Response, error) {
	for try := 1; ; try++ {
		answer, err := p.exchange(ctx, address, request, deadline)
		if err == nil || !errors.Is(err, errStale) || try == freshTries || ctx.Err() != nil {
			return answer, err
		}
	}
}

func (p *Pool) exchange(ctx context.Context, address string, request *Request, deadline time.Time) (*Response, error) {
	c, err := p.get(ctx, address, deadline)
	if err != nil {
		return nil, failed(address, false, err)
	}
	c.SetDeadline(deadline)
	detach := context.AfterFunc(ctx, c.close)
	answer, sent, err := c.roundTrip(request)
	if err != nil {
		detach()
		c.close()
		return nil, failed(address, sent, err)
	}
	answer.detach = detach
	return answer, nil
}

// roundTrip writes the request and reads the head of its answer. sent says whether a byte may have left.
func (c *connection) roundTrip(request *Request) (answer *Response, sent bool, err error) {
	c.served++
	if request.length() > joinedBody {
		return c.roundTripLarge(request)
	}
	n, err := c.send(request)
	if err != nil && n == 0 {
		return nil, false, c.unsent(err)
	}
	if err != nil {
		c.SetReadDeadline(time.Now().Add(earlyAnswerWait))
	}
	answer, failure := c.receive(request)
	if failure != nil {
		return nil, true, cmp.Or(err, failure)
	}
	answer.tainted = answer.tainted || err != nil
	return answer, true, nil
}

// unsent is the reason for which no byte left. A kept connection was ended by the receiver meanwhile: another may do.
func (c *connection) unsent(err error) error {
	if c.served > 1 {
		return errStale
	}
	return err
}

// roundTripLarge writes the body beside the reading, as a receiver may answer without having read it all.
func (c *connection) roundTripLarge(request *Request) (answer *Response, sent bool, err error) {
	written := make(chan writeResult, 1)
	go func() {
		n, err := c.sendLarge(request)
		if err != nil {
			c.SetReadDeadline(time.Now().Add(earlyAnswerWait))
		}
		written <- writeResult{bytes: n, err: err}
	}()
	answer, err = c.receive(request)
	if err != nil {
		c.close()
		result := <-written
		if result.err != nil && result.bytes == 0 {
			return nil, false, c.unsent(result.err)
		}
		return nil, true, cmp.Or(result.err, err)
	}
	answer.written = written
	return answer, true, nil
}

// writeResult is how far the write of a request came.
type writeResult struct {
	bytes int64
	err   error
}

// send writes head and body in one write.
func (c *connection) send(request *Request) (int, error) {
	buffer := heads.Get().(*buffer)
	defer buffer.recycle()
	buffer.bytes = request.appendHead(buffer.bytes[:0])
	buffer.bytes = append(buffer.bytes, request.BodyPrefix...)
	buffer.bytes = append(buffer.bytes, request.Body...)
	return c.Write(buffer.bytes)
}

func (c *connection) sendLarge(request *Request) (int64, error) {
	parts := net.Buffers{request.appendHead(nil), request.BodyPrefix, request.Body}
	return parts.WriteTo(c.Conn)
}

// receive reads heads until the one of the request's answer.
func (c *connection) receive(request *Request) (*Response, error) {
	asked := &http.Request{Method: request.Method}
	foreign, interim := 0, 0
	for {
		c.headLeft = maxHead
		response, err := http.ReadResponse(c.reader, asked)
		c.headLeft = -1
		if err != nil {
			return nil, noEOF(err)
		}
		if response.StatusCode < 200 {
			interim++
			if response.StatusCode == http.StatusSwitchingProtocols || interim > maxInterim {
				return nil, errUpgrade
			}
			continue
		}
		echoed := response.Header.Get(requestIDHeader)
		if echoed != "" && echoed != request.ID {
			foreign++
			if foreign > maxForeign || !skip(response) {
				return nil, errForeign
			}
			continue
		}
		if echoed == "" && request.ID != "" && !(refusal(response) && c.served == 1 && foreign == 0) {
			return nil, errUnidentified
		}
		return c.answer(response, foreign > 0), nil
	}
}

// refusal says whether an answer states that the request was not run. Only such a one may lack the request's id, and
// only as the first answer on its connection, where no other request's can stand.
func refusal(response *http.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get("Emberquay-Not-Executed") != ""
}

// skip reads away the whole of an answer to an earlier request.
func skip(response *http.Response) bool {
	if !bounded(response) {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody+1))
	return err == nil && n <= maxForeignBody
}

// bounded says whether the head tells where the body ends. One that does not ends with its connection: whole if that is
// closed, broken off if it is reset.
func bounded(response *http.Response) bool {
	return response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked") || response.Body == http.NoBody
}

func (c *connection) answer(response *http.Response, tainted bool) *Response {
	a := &Response{
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		response:      response,
		connection:    c,
		tainted:       tainted || response.Close || response.ProtoMinor == 0,
		whole:         response.Body == http.NoBody,
		idleFor:       idleTime(response.Header),
	}
	a.Body = body{a}
	return a
}

// body reads an answer's body and notes its end.
type body struct{ answer *Response }

func (b body) Read(to []byte) (int, error) {
	n, err := b.answer.response.Body.Read(to)
	if err == io.EOF {
		b.answer.whole = true
	}
	return n, err
}

// Complete says whether the body was read to its proper end.
func (a *Response) Complete() bool { return a.whole }

// Close keeps the connection if the answer was read whole, and ends it otherwise, which cancels the request. The bytes
// of the request are not used any more when it returns.
func (a *Response) Close() {
	if a.connection == nil {
		return
	}
	c := a.connection
	a.connection = nil
	if a.written != nil {
		a.endWrite(c)
	}
	if !a.detach() || !a.whole || a.tainted || a.idleFor == 0 || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	c.home.pool.put(c, a.idleFor)
}

// endWrite waits for the writer of a large request. One that is still at it is stopped: its bytes may soon be those of
// another request.
func (a *Response) endWrite(c *connection) {
	var result writeResult
	select {
	case result = <-a.written:
	default:
		a.tainted = true
		c.close()
		result = <-a.written
	}
	a.tainted = a.tainted || result.err != nil
}

// NotExecuted says whether the receiver states that it did not run the request.
func (a *Response) NotExecuted() bool { return refusal(a.response) }

// RetryAfter is the wait that the answer tells, in seconds with fractions; 0: none.
func (a *Response) RetryAfter() time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(a.Header.Get("Retry-After")), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// noEOF names the end of a connection in place of an answer for what it is.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
