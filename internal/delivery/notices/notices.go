// Package notices tells the platform how texts ended that were taken on and not delivered.
package notices

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"emberquay/control"
	"emberquay/internal/delivery/config"
	"emberquay/internal/delivery/ledger"
)

const noticePath = "/v2/finals"

// Notifier is the actor that sends notices, several at once where they have gathered, each until it is taken.
type Notifier struct {
	limits config.Limits
	mail   chan *ledger.Notice
	told   func([]*ledger.Notice) // they have arrived
	client *http.Client

	mu sync.Mutex
	at *place
}

// place is where notices go; its context ends once they go elsewhere.
type place struct {
	url   string
	here  context.Context
	leave context.CancelFunc
}

func newPlace(addr string) *place {
	p := &place{url: "http://" + addr + noticePath}
	p.here, p.leave = context.WithCancel(context.Background())
	return p
}

// New makes the actor; told hears of what has arrived. Owed notices fit in the mailbox beside the texts held.
func New(addr string, limits config.Limits, told func([]*ledger.Notice)) *Notifier {
	return &Notifier{at: newPlace(addr), limits: limits, told: told,
		mail: make(chan *ledger.Notice, 2*limits.MaxTexts+limits.MailboxSize),
		client: &http.Client{
			Transport:     &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}
}

// SetAddr sends what is not told yet to another address from now on, what is under way too: the old one may take
// no more. A notice that comes twice does no harm.
func (d *Notifier) SetAddr(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at.leave()
	d.at = newPlace(addr)
}

func (d *Notifier) place() *place {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at
}

// Post hands over a notice without waiting; false if there is no room.
func (d *Notifier) Post(n *ledger.Notice) bool {
	select {
	case d.mail <- n:
		return true
	default:
		return false
	}
}

// wire is one notice as it is written.
type wire struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMs int64  `json:"retry_in_ms,omitempty"`
}

// Run sends what is posted until the context ends.
func (d *Notifier) Run(ctx context.Context) {
	var due []*ledger.Notice
	pause := d.limits.MinRetryDelay
	for {
		if len(due) == 0 {
			select {
			case <-ctx.Done():
				return
			case n := <-d.mail:
				due = append(due, n)
			}
		}
		for more := true; more && len(due) < d.limits.MailboxSize; {
			select {
			case n := <-d.mail:
				due = append(due, n)
			default:
				more = false
			}
		}
		// After a fault one goes alone, and to the back if it fails: none may hold up the others for ever.
		most := len(due)
		if pause > d.limits.MinRetryDelay {
			most = 1
		}
		body, batch := d.write(due[:most])
		at := d.place()
		if err := d.send(ctx, at, body, d.patience(pause)); err != nil {
			if ctx.Err() != nil {
				return
			}
			slog.Warn("not_taken", "part", "notices", "count", batch, "err", err)
			due = append(due[batch:], due[:batch]...)
			select {
			case <-ctx.Done():
				return
			case <-at.here.Done():
				pause = 0
				d.client.CloseIdleConnections()
			case <-time.After(pause):
			}
			pause = min(max(2*pause, d.limits.MinRetryDelay), d.limits.MaxRetryDelay)
			continue
		}
		pause = d.limits.MinRetryDelay
		arrived := slices.Clone(due[:batch])
		due = append(due[:0], due[batch:]...)
		d.told(arrived)
	}
}

// patience is how long a try waits for its answer. The first, on a connection that was kept and may say nothing more,
// leaves time for a second before the end of a text counts as late; a platform that is slow gets more each
// time, as the pause before it grows.
func (d *Notifier) patience(pause time.Duration) time.Duration {
	return d.limits.NoticeTimeout * min(max(1, pause/max(1, d.limits.MinRetryDelay)), mostPatience)
}

// mostPatience bounds by how much that grows.
const mostPatience = 8

// write writes as many notices as one body may hold, and says how many.
func (d *Notifier) write(due []*ledger.Notice) ([]byte, int) {
	var body bytes.Buffer
	lines := json.NewEncoder(&body)
	lines.SetEscapeHTML(false)
	for i, n := range due {
		w := wire{Message: n.ID, Outcome: "given_up"}
		if n.Nack {
			const perMs = control.Second / 1000
			w.Outcome, w.RetryMs = "handed_back", int64((n.RetryAfter+perMs-1)/perMs)
		}
		whole := body.Len()
		lines.Encode(w) // strings and a number always encode, and a buffer takes them
		if i > 0 && int64(body.Len()) > d.limits.MaxBodyBytes {
			return body.Bytes()[:whole], i
		}
	}
	return body.Bytes(), len(due)
}

func (d *Notifier) send(ctx context.Context, at *place, body []byte, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	defer context.AfterFunc(at.here, cancel)()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, at.url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, d.limits.MaxBodyBytes))
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("the platform answered %s", resp.Status)
	}
	return nil
}
