// Package clients takes texts from clients, on net/http's server.
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

// The paths of a hand-in and the headers that only it has.
const (
	textPath       = "/api"
	readyPath      = "/up"
	statusPath     = "/status" // not the protocol's: for whoever is on call
	productHeader  = "X-Call-Class"
	envelopeHeader = "X-Envelope"
	againHeader    = "X-Again"
	keyHeader      = "X-Route-Hash" // texts of one key go in order, where their product asks for it
	brandHeader    = "X-Caller"     // whose the text is, where brands have shares
)

// TextAcceptor takes texts on.
type TextAcceptor interface {
	HandIn(t *ledger.Text, reply chan<- sender.Answer) bool
	Withdraw(t *ledger.Text)
	Status() (sender.Counts, bool)
}

// Server is the clients' side. Each connection has a goroutine, and each hand-in a mailbox for its answer.
type Server struct {
	limits   config.Limits
	products map[string]bool
	taker    TextAcceptor
	http     *http.Server
	conns    *conns
	listener atomic.Pointer[net.Listener]
}

// New makes the server; the settings name the products.
func New(c *config.Config, taker TextAcceptor) *Server {
	s := &Server{limits: c.Limits, products: c.Products, taker: taker, conns: newConns(c.Limits)}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, r, http.StatusNotFound, errors.New("nothing is done for this"))
	})
	mux.HandleFunc("POST "+textPath, s.hand)
	mux.HandleFunc("GET "+readyPath, s.ready)
	mux.HandleFunc("GET "+statusPath, s.status)
	s.http = &http.Server{
		Handler: s.unpaired(mux), ReadHeaderTimeout: c.Limits.RequestReadTimeout, ReadTimeout: c.Limits.RequestReadTimeout,
		IdleTimeout: c.Limits.ClientIdleTimeout, MaxHeaderBytes: c.Limits.MaxHeaderBytes,
		ConnState: s.conns.changed, ErrorLog: logs.NewLibraryLogger("clients"),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	return s
}

// Serve answers until Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.listener.Store(&l)
	if err := s.http.Serve(s.conns.listen(l)); !errors.Is(err, http.ErrServerClosed) && !s.conns.stopping.Load() {
		return err
	}
	return nil
}

// OpenConns counts the clients' connections.
func (s *Server) OpenConns() int { return s.conns.count() }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.conns.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	counts, ok := s.taker.Status()
	if !ok {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(struct {
		sender.Counts
		Clients int  `json:"client_conns"`
		Stops   bool `json:"stopping"`
	}{counts, s.OpenConns(), s.conns.stopping.Load()})
}

// connKey is under what a request's context holds its connection.
type connKey struct{}

func connOf(r *http.Request) *conn { return r.Context().Value(connKey{}).(*conn) }

// unpaired refuses what had a length beside pieces, and lets no request follow one in pieces: what a body
// conceals must not become a request.
func (s *Server) unpaired(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if connOf(r).paired.Load() {
			s.refuse(w, r, http.StatusBadRequest, errors.New("Content-Length beside Transfer-Encoding"))
			return
		}
		if len(r.TransferEncoding) > 0 || s.conns.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// refuse answers what cannot be used, at once, and ends the connection: what else comes on it is not looked
// at.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, why error) {
	w.Header().Set("Connection", "close")
	http.Error(w, why.Error(), status)
	connOf(r).reached(refused)
	slog.Warn("refused", "part", "clients", "from", r.RemoteAddr, "status", status, "err", why)
}

// hand answers one hand-in: whatever was read whole gets an answer.
func (s *Server) hand(w http.ResponseWriter, r *http.Request) {
	t, status, err := s.text(r, time.Now())
	if err != nil {
		s.refuse(w, r, status, err)
		return
	}
	connOf(r).reached(working)
	reply := make(chan sender.Answer, 1)
	if !s.taker.HandIn(t, reply) {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	select {
	case a := <-reply:
		// A client that has gone before its answer hands the text in again: that goes before an answer ready just then.
		if (r.Context().Err() != nil || s.answer(w, a) != nil) && a.Verdict == sender.Accepted {
			s.taker.Withdraw(t) // it never heard that the text was taken on
		}
	case <-r.Context().Done():
		s.taker.Withdraw(t)
	}
}

func (s *Server) answer(w http.ResponseWriter, a sender.Answer) error {
	w.Header().Set("Content-Length", "0")
	if s.conns.wanted() {
		w.Header().Set("Connection", "close")
	}
	switch a.Verdict {
	case sender.Accepted:
		w.WriteHeader(http.StatusAccepted)
	case sender.Nacked:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", seconds(a.RetryAfter))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusUnprocessableEntity)
	}
	return http.NewResponseController(w).Flush()
}

// seconds writes a wait with decimals, rounded up.
func seconds(t control.Time) string {
	ms := math.Ceil(float64(t) * 1000 / float64(control.Second))
	return strconv.FormatFloat(ms/1000, 'f', 3, 64)
}

// text takes out of a hand-in what decisions need; the body and the mark stay as they came.
func (s *Server) text(r *http.Request, came time.Time) (*ledger.Text, int, error) {
	if r.ContentLength > s.limits.MaxBodyBytes { // before anything is spent on it
		return nil, http.StatusRequestEntityTooLarge, errors.New("the body is too large")
	}
	bad := func(header, what string) (*ledger.Text, int, error) {
		return nil, http.StatusBadRequest, fmt.Errorf("%s: %s", header, what)
	}
	// Names are those of the settings, which are kept without the characters that part them.
	t := &ledger.Text{ID: r.Header.Get(protocol.IDHeader), Product: config.NormalizeName(r.Header.Get(productHeader)),
		IdempotencyKey: r.Header.Get(protocol.IdempotencyKeyHeader), Key: r.Header.Get(keyHeader), Brand: config.NormalizeName(r.Header.Get(brandHeader))}
	// Both are written down as text; bytes that are none would not come back the same.
	if t.ID == "" || !kept(t.ID) {
		return bad(protocol.IDHeader, "missing, too long or no text")
	}
	if !kept(t.IdempotencyKey) {
		return bad(protocol.IdempotencyKeyHeader, "too long or no text")
	}
	if !s.products[t.Product] {
		return bad(productHeader, fmt.Sprintf("%q is not known", t.Product))
	}
	budget, err := strconv.ParseFloat(r.Header.Get(protocol.BudgetHeader), 64)
	if err != nil || !(budget >= 0 && budget <= mostBudget) {
		return bad(protocol.BudgetHeader, fmt.Sprintf("%q is no time in seconds", r.Header.Get(protocol.BudgetHeader)))
	}
	left := control.Time(budget * float64(control.Second)) // rounded down
	t.ValidUntil = protocol.UnixTicks(came) + left
	if err = envelope(r.Header.Get(envelopeHeader), t); err != nil {
		return bad(envelopeHeader, err.Error())
	}
	switch again := r.Header.Get(againHeader); again {
	case "", "0":
	case "1":
		t.Retry = true
	case "again":
		t.Returned = true
	default:
		return bad(againHeader, fmt.Sprintf("%q is not known", again))
	}
	if r.ContentLength >= 0 { // net/http reads no more than that
		t.Body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, t.Body)
	} else if t.Body, err = io.ReadAll(io.LimitReader(r.Body, s.limits.MaxBodyBytes+1)); int64(len(t.Body)) > s.limits.MaxBodyBytes {
		return nil, http.StatusRequestEntityTooLarge, errors.New("the body is too large")
	}
	if err != nil {
		return bad("body", "cut short")
	}
	return t, 0, nil
}

const (
	mostID     = 256
	mostBudget = 1e6 // seconds
)

// kept: it can be written down and comes back the same.
func kept(word string) bool { return len(word) <= mostID && utf8.ValidString(word) }

// envelope finds dest=N, and key=TEXT and brand=NAME for installations whose clients have no headers for them: where
// the headers came they count.
func envelope(envelope string, t *ledger.Text) (err error) {
	found := false
	for _, part := range strings.FieldsFunc(envelope, func(r rune) bool { return strings.ContainsRune(",; ", r) }) {
		name, v, _ := strings.Cut(part, "=")
		switch {
		case name == "dest" && !found: // the first counts
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
	case !kept(t.Key):
		return errors.New("key is too long or no text")
	case !kept(t.Brand):
		return errors.New("brand is too long or no text")
	}
	return nil
}
