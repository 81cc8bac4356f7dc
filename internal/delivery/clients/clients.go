// Package clients is the HTTP server on which clients hand in texts.
package clients

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"emberquay/control"
	"emberquay/internal/delivery/config"
	"emberquay/internal/delivery/ledger"
	"emberquay/internal/delivery/protocol"
	"emberquay/internal/delivery/sender"
	"emberquay/internal/logs"
)

// The paths, and the headers that only a hand-in has.
const (
	textPath       = "/api"
	readyPath      = "/up"
	statusPath     = "/status" // not part of the protocol: for operators
	productHeader  = "X-Call-Class"
	envelopeHeader = "X-Envelope"
	againHeader    = "X-Again"
	keyHeader      = "X-Route-Hash" // texts of one key are delivered in order if their product requires it
	brandHeader    = "X-Caller"     // the owner of the text, if brands have quotas
)

// TextAcceptor accepts texts; sender.Sender implements it.
type TextAcceptor interface {
	HandIn(t *ledger.Text, reply chan<- sender.Answer) bool
	Withdraw(t *ledger.Text)
	Status() (sender.Counts, bool)
}

// Server serves clients: a goroutine for each connection and an answer channel for each hand-in.
type Server struct {
	limits   config.Limits
	products map[string]bool
	acceptor TextAcceptor
	http     *http.Server
	conns    *conns
	listener atomic.Pointer[net.Listener]
}

// New returns a server for the products that the settings name.
func New(c *config.Config, acceptor TextAcceptor) *Server {
	s := &Server{limits: c.Limits, products: c.Products, acceptor: acceptor, conns: newConns(c.Limits)}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, r, http.StatusNotFound, errors.New("nothing is done for this"))
	})
	mux.HandleFunc("POST "+textPath, s.handleHandIn)
	mux.HandleFunc("GET "+readyPath, s.handleReady)
	mux.HandleFunc("GET "+statusPath, s.handleStatus)
	s.http = &http.Server{
		Handler: s.rejectAmbiguousLength(mux), ReadHeaderTimeout: c.Limits.RequestReadTimeout, ReadTimeout: c.Limits.RequestReadTimeout,
		IdleTimeout: c.Limits.ClientIdleTimeout, MaxHeaderBytes: c.Limits.MaxHeaderBytes,
		ConnState: s.conns.onStateChange, ErrorLog: logs.NewLibraryLogger("clients"),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return s
}

// Serve serves requests until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.listener.Store(&l)
	if err := s.http.Serve(s.conns.limitListener(l)); !errors.Is(err, http.ErrServerClosed) && !s.conns.stopping.Load() {
		return err
	}
	return nil
}

// OpenConns counts the clients' connections.
func (s *Server) OpenConns() int { return s.conns.count() }

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if s.conns.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	counts, ok := s.acceptor.Status()
	if !ok {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(struct {
		sender.Counts
		ClientConns int  `json:"client_conns"`
		Stopping    bool `json:"stopping"`
	}{counts, s.OpenConns(), s.conns.stopping.Load()})
}

// connKey is the context key of a request's connection.
type connKey struct{}

func connOf(r *http.Request) *conn { return r.Context().Value(connKey{}).(*conn) }

// rejectAmbiguousLength refuses a request with both Content-Length and Transfer-Encoding, and closes the connection after
// any chunked request: a smuggled request must not be served.
func (s *Server) rejectAmbiguousLength(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if connOf(r).ambiguousLength.Load() {
			s.refuse(w, r, http.StatusBadRequest, errors.New("Content-Length beside Transfer-Encoding"))
			return
		}
		if len(r.TransferEncoding) > 0 || s.conns.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// refuse answers an invalid request at once and closes the connection; anything else that arrives on it is ignored.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, why error) {
	w.Header().Set("Connection", "close")
	http.Error(w, why.Error(), status)
	connOf(r).setStage(refused)
	slog.Warn("refused", "part", "clients", "from", r.RemoteAddr, "status", status, "err", why)
}

// handleHandIn answers one hand-in: every request that was read in full gets a response.
func (s *Server) handleHandIn(w http.ResponseWriter, r *http.Request) {
	t, status, err := s.parseText(r, time.Now())
	if err != nil {
		s.refuse(w, r, status, err)
		return
	}
	connOf(r).setStage(working)
	reply := make(chan sender.Answer, 1)
	if !s.acceptor.HandIn(t, reply) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	select {
	case a := <-reply:
		// A client that left before its answer hands the text in again: its leaving counts even if the answer is ready.
		if (r.Context().Err() != nil || s.writeAnswer(w, a) != nil) && a.Verdict == sender.Accepted {
			s.acceptor.Withdraw(t) // the client was never told that the text was accepted
		}
	case <-r.Context().Done():
		s.acceptor.Withdraw(t)
	}
}

func (s *Server) writeAnswer(w http.ResponseWriter, a sender.Answer) error {
	w.Header().Set("Content-Length", "0")
	if s.conns.consumeWaiting() {
		w.Header().Set("Connection", "close")
	}
	switch a.Verdict {
	case sender.Accepted:
		w.WriteHeader(http.StatusAccepted)
	case sender.Nacked:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", formatSeconds(a.RetryAfter))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusUnprocessableEntity)
	}
	return http.NewResponseController(w).Flush()
}

// formatSeconds formats a delay in seconds with three decimals, rounded up.
func formatSeconds(t control.Time) string {
	ms := math.Ceil(float64(t) * 1000 / float64(control.Second))
	return strconv.FormatFloat(ms/1000, 'f', 3, 64)
}

// parseText returns the text of a hand-in; the body and the idempotency key are kept unchanged.
func (s *Server) parseText(r *http.Request, receivedAt time.Time) (*ledger.Text, int, error) {
	if r.ContentLength > s.limits.MaxBodyBytes { // before any other work on it
		return nil, http.StatusRequestEntityTooLarge, errors.New("the body is too large")
	}
	badRequest := func(header, what string) (*ledger.Text, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf("%s: %s", header, what)
	}
	// Names are normalized as in the settings, which hold them without separator characters.
	t := &ledger.Text{ID: r.Header.Get(protocol.IDHeader), Product: config.NormalizeName(r.Header.Get(productHeader)),
		IdempotencyKey: r.Header.Get(protocol.IdempotencyKeyHeader), Key: r.Header.Get(keyHeader), Brand: config.NormalizeName(r.Header.Get(brandHeader))}
	// The ledger stores both as UTF-8 text; other bytes would not be restored unchanged.
	if t.ID == "" || !storable(t.ID) {
		return badRequest(protocol.IDHeader, "missing, too long or no text")
	}
	if !storable(t.IdempotencyKey) {
		return badRequest(protocol.IdempotencyKeyHeader, "too long or no text")
	}
	if !s.products[t.Product] {
		return badRequest(productHeader, fmt.Sprintf("%q is not known", t.Product))
	}
	budget, err := strconv.ParseFloat(r.Header.Get(protocol.BudgetHeader), 64)
	if err != nil || !(budget >= 0 && budget <= maxBudgetSeconds) {
		return badRequest(protocol.BudgetHeader, fmt.Sprintf("%q is no time in seconds", r.Header.Get(protocol.BudgetHeader)))
	}
	timeLeft := control.Time(budget * float64(control.Second)) // rounded down
	t.ValidUntil = protocol.UnixTicks(receivedAt) + timeLeft
	if err = parseEnvelope(r.Header.Get(envelopeHeader), t); err != nil {
		return badRequest(envelopeHeader, err.Error())
	}
	switch again := r.Header.Get(againHeader); again {
	case "", "0":
	case "1":
		t.Retry = true
	case "again":
		t.Returned = true
	default:
		return badRequest(againHeader, fmt.Sprintf("%q is not known", again))
	}
	if r.ContentLength >= 0 { // net/http reads no more than ContentLength bytes
		t.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, t.Body)
	} else if t.Body, err = io.ReadAll(io.LimitReader(r.Body, s.limits.MaxBodyBytes+1)); int64(len(t.Body)) > s.limits.MaxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge, errors.New("the body is too large")
	}
	if err != nil {
		return badRequest("body", "cut short")
	}
	return t, 0, nil
}

const (
	maxWordBytes     = 256
	maxBudgetSeconds = 1e6
)

// storable reports whether the ledger can store a word and restore it unchanged.
func storable(word string) bool { return len(word) <= maxWordBytes && utf8.ValidString(word) }

// parseEnvelope reads dest=N, and key=TEXT and brand=NAME for installations whose clients send no headers for them; the
// headers take precedence.
func parseEnvelope(envelope string, t *ledger.Text) (err error) {
	found := false
	for _, part := range strings.FieldsFunc(envelope, func(r rune) bool { return strings.ContainsRune(",; ", r) }) {
		name, v, _ := strings.Cut(part, "=")
		switch {
		case name == "dest" && !found: // the first one counts
			if t.Destination, err = strconv.ParseInt(v, 10, 64); err != nil {
				return fmt.Errorf("dest %q is no number", v)
			}
			found = true
		case name == "key" && t.Key == "":
			t.Key = v
		case name == "brand" && t.Brand == "":
			t.Brand = config.NormalizeName(v)
		}
	}
	switch {
	case !found:
		return errors.New("dest is missing")
	case !storable(t.Key):
		return errors.New("key is too long or no text")
	case !storable(t.Brand):
		return errors.New("brand is too long or no text")
	}
	return nil
}
