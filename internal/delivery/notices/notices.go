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
	limits      config.Limits
	queue       chan *ledger.Notice
	onDelivered func([]*ledger.Notice) // they have arrived
	client      *http.Client

	mu     sync.Mutex
	target *target
}

// target is where notices go; its context ends once they go elsewhere.
type target struct {
	url    string
	ctx    context.Context
	cancel context.CancelFunc
}

func newTarget(addr string) *target {
	p := &target{url: "http://" + addr + noticePath}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// New makes the actor; told hears of what has arrived. Owed notices fit in the mailbox beside the texts held.
func New(addr string, limits config.Limits, onDelivered func([]*ledger.Notice)) *Notifier {
	return &Notifier{target: newTarget(addr), limits: limits, onDelivered: onDelivered,
		queue: make(chan *ledger.Notice, 2*limits.MaxTexts+limits.MailboxSize),
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
	d.target.cancel()
	d.target = newTarget(addr)
}

func (d *Notifier) currentTarget() *target {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.target
}

// Post hands over a notice without waiting; false if there is no room.
func (d *Notifier) Post(n *ledger.Notice) bool {
	select {
	case d.queue <- n:
		return true
	default:
		return false
	}
}

// wireNotice is one notice as it is written.
type wireNotice struct {
	Message string `json:"message"`
	Outcome string `json:"outcome"`
	RetryMs int64  `json:"retry_in_ms,omitempty"`
}

// Run sends what is posted until the context ends.
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
		// After a fault one goes alone, and to the back if it fails: none may hold up the others for ever.
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

// attemptTimeout is how long a try waits for its answer. The first, on a connection that was kept and may say nothing more,
// leaves time for a second before the end of a text counts as late; a platform that is slow gets more each
// time, as the pause before it grows.
func (d *Notifier) attemptTimeout(delay time.Duration) time.Duration {
	return d.limits.NoticeTimeout * min(max(1, delay/max(1, d.limits.MinRetryDelay)), maxTimeoutFactor)
}

// maxTimeoutFactor bounds by how much that grows.
const maxTimeoutFactor = 8

// encodeBatch writes as many notices as one body may hold, and says how many.
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
		encoder.Encode(w) // strings and a number always encode, and a buffer takes them
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
		return fmt.Errorf("the platform answered %s", resp.Status)
	}
	return nil
}
