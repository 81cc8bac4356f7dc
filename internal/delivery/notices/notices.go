// Package notices tells the platform how accepted texts ended that were not delivered.
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

// Notifier sends notices to the platform, in batches if several are queued, and retries each until it is accepted.
type Notifier struct {
	limits      config.Limits
	queue       chan *ledger.Notice
	onDelivered func([]*ledger.Notice) // called with delivered notices
	client      *http.Client

	mu     sync.Mutex
	target *target
}

// target is the address that notices are sent to; its context is cancelled when the address changes.
type target struct {
	url    string
	ctx    context.Context
	cancel context.CancelFunc
}

func newTarget(addr string) *target {
	t := &target{url: "http://" + addr + noticePath}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// New returns a notifier that calls onDelivered with delivered notices. Its queue has space for all notices owed and
// those of all held texts.
func New(addr string, limits config.Limits, onDelivered func([]*ledger.Notice)) *Notifier {
	return &Notifier{target: newTarget(addr), limits: limits, onDelivered: onDelivered,
		queue: make(chan *ledger.Notice, 2*limits.MaxTexts+limits.MailboxSize),
		client: &http.Client{
			Transport:     &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}
}

// SetAddr sends all undelivered notices to another address from now on, including those being sent: the old one may not
// accept any more. A duplicate notice does no harm.
func (d *Notifier) SetAddr(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.target.cancel()
	d.target = newTarget(addr)
}

func (d *Notifier) currentTarget() *target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.target
}

// Post queues a notice without blocking; false if the queue is full.
func (d *Notifier) Post(n *ledger.Notice) bool {
	select {
	case d.queue <- n:
		return true
	default:
		return false
	}
}

// wireNotice is a notice as encoded on the wire.
type wireNotice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMs int64  `json:"retry_in_ms,omitempty"`
}

// Run sends queued notices until the context ends.
func (d *Notifier) Run(ctx context.Context) {
	var pending []*ledger.Notice
	delay := d.limits.MinRetryDelay
	for {
		if len(pending) == 0 {
			select {
			case <-ctx.Done():
				return
			case n := <-d.queue:
				pending = append(pending, n)
			}
		}
		for more := true; more && len(pending) < d.limits.MailboxSize; {
			select {
			case n := <-d.queue:
				pending = append(pending, n)
			default:
				more = false
			}
		}
		// After a failure notices are sent one at a time, and a failed one goes to the back: none may block the others forever.
		batchLimit := len(pending)
		if delay > d.limits.MinRetryDelay {
			batchLimit = 1
		}
		body, count := d.encodeBatch(pending[:batchLimit])
		target := d.currentTarget()
		if err := d.send(ctx, target, body, d.attemptTimeout(delay)); err != nil {
			if ctx.Err() != nil {
				return
			}
			slog.Warn("not_taken", "part", "notices", "count", count, "err", err)
			pending = append(pending[count:], pending[:count]...)
			select {
			case <-ctx.Done():
				return
			case <-target.ctx.Done():
				delay = 0
				d.client.CloseIdleConnections()
			case <-time.After(delay):
			}
			delay = min(max(2*delay, d.limits.MinRetryDelay), d.limits.MaxRetryDelay)
			continue
		}
		delay = d.limits.MinRetryDelay
		delivered := slices.Clone(pending[:count])
		pending = append(pending[:0], pending[count:]...)
		d.onDelivered(delivered)
	}
}

// attemptTimeout returns how long an attempt waits for its response. The first may use a kept connection that is dead,
// so it leaves time for a second one before the end of a text counts as late; as the delay between attempts grows,
// the timeout grows with it, for a slow platform.
func (d *Notifier) attemptTimeout(delay time.Duration) time.Duration {
	return d.limits.NoticeTimeout * min(max(1, delay/max(1, d.limits.MinRetryDelay)), maxTimeoutFactor)
}

// maxTimeoutFactor limits the growth of that timeout.
const maxTimeoutFactor = 8

// encodeBatch encodes as many notices as fit one body and returns their number.
func (d *Notifier) encodeBatch(pending []*ledger.Notice) ([]byte, int) {
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	encoder.SetEscapeHTML(false)
	for i, n := range pending {
		w := wireNotice{Message: n.ID, Outcome: "given_up"}
		if n.Nack {
			const perMs = control.Second / 1000
			w.Outcome, w.RetryMs = "handed_back", int64((n.RetryAfter+perMs-1)/perMs)
		}
		complete := body.Len()
		encoder.Encode(w) // cannot fail: strings and a number, written to a buffer
		if i > 0 && int64(body.Len()) > d.limits.MaxBodyBytes {
			return body.Bytes()[:complete], i
		}
	}
	return body.Bytes(), len(pending)
}

func (d *Notifier) send(ctx context.Context, target *target, body []byte, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	defer context.AfterFunc(target.ctx, cancel)()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target.url, bytes.NewReader(body))
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
		return fmt.Errorf("platform responded with status %s", resp.Status)
	}
	return nil
}
