package directory

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"emberquay/internal/delivery/config"
)

const listPath = "/discovery/hosts"

// Directory follows the list in one goroutine, which passes on the updates in order. Another goroutine per watch reads its
// lines into a mailbox.
type Directory struct {
	url          string
	addrs        chan string // new addresses of the platform
	limits       config.Limits
	client       *http.Client
	ids          *idAllocator
	version      int64
	needFull     bool // the full list is needed: there is none yet, or a change was missed
	backoff      *backoff
	answeredEnds int // consecutive watches that were answered and ended, each before a silence timeout
	onUpdate     func(Update)
}

// New returns a directory that passes updates to onUpdate. The seed is for the random retry delays.
func New(addr string, seed uint64, limits config.Limits, onUpdate func(Update)) *Directory {
	return &Directory{url: listURL(addr), addrs: make(chan string, 8), limits: limits, ids: newIDAllocator(), needFull: true, onUpdate: onUpdate,
		backoff: newBackoff(seed, limits.ListRetryWindow),
		client: &http.Client{
			Transport:     &http.Transport{DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}
}

func listURL(addr string) string { return "http://" + addr + listPath }

// SetAddr makes the directory use another address of the platform from now on.
func (d *Directory) SetAddr(addr string) { d.addrs <- addr }

// switchAddr switches to an address. The list may have changed meanwhile, so the full list is requested.
func (d *Directory) switchAddr(addr string) error {
	d.url, d.needFull = listURL(addr), true
	return errAddrChanged
}

var (
	errAddrChanged = errors.New("moved")
	errSilent      = errors.New("silent")
)

// Restore passes on the list as this sender had it last; call it before Run.
func (d *Directory) Restore(raw []byte) error {
	l, err := parseList(raw)
	if err != nil {
		return err
	}
	l.Full = true
	d.version, d.needFull = l.Version, false
	d.onUpdate(d.ids.update(l))
	return nil
}

// Run follows the list until the context ends. It restarts a watch that ends or is silent. A sender with a cached list
// waits before the first request, as most of a fleet may have been started at the same moment.
func (d *Directory) Run(ctx context.Context) {
	if !d.needFull {
		d.wait(ctx, d.backoff.initialDelay(d.limits.FirstListWindow))
	}
	for ctx.Err() == nil {
		startedAt := time.Now()
		received, err := d.runWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("watch_ended", "part", "directory", "version", d.version, "after", time.Since(startedAt), "err", err)
		succeeded := received || err == errAddrChanged
		delay := d.backoff.nextDelay(succeeded)
		// The platform counts changes as announced whether or not a sender has a request open. So after a silence the next
		// one is opened at once; after one that was answered and then ended also, but if the platform ends each
		// of them, the delay grows.
		if succeeded {
			if err == errAddrChanged || time.Since(startedAt) > d.limits.WatchSilenceTimeout {
				d.answeredEnds = 0
			}
			delay = min(delay, d.limits.MinRetryDelay<<min(d.answeredEnds, maxEndDoublings))
			d.answeredEnds++
		}
		if err != errAddrChanged && err != errSilent {
			d.wait(ctx, delay)
		}
	}
}

// maxEndDoublings limits how often the delay after an ended watch doubles.
const maxEndDoublings = 6

// wait waits for a delay or until the address changes.
func (d *Directory) wait(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case addr := <-d.addrs:
		d.switchAddr(addr)
		d.backoff.nextDelay(true)
	case <-time.After(delay):
	}
}

// runWatch runs one watch, after requesting the full list if needed; received reports whether it got any data.
func (d *Directory) runWatch(parent context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	mailbox := make(chan watchLine, d.limits.MailboxSize/16)
	go d.readWatch(ctx, mailbox, d.url, d.needFull, d.version)
	silenceTimer := time.NewTimer(d.limits.WatchSilenceTimeout)
	defer silenceTimer.Stop()
	for {
		select {
		case <-silenceTimer.C:
			return received, errSilent
		case addr := <-d.addrs:
			return received, d.switchAddr(addr)
		case l, more := <-mailbox:
			if !more {
				return received, io.EOF
			}
			if l.err != nil {
				if syntaxErr := (*json.SyntaxError)(nil); errors.As(l.err, &syntaxErr) {
					d.needFull = true // a change is lost with it
				}
				return received, l.err
			}
			silenceTimer.Reset(d.limits.WatchSilenceTimeout)
			received = true
			if err := d.applyList(l.text); err != nil {
				d.needFull = true // a change is lost with it
				return received, err
			}
		}
	}
}

// applyList passes on the list or change in one line; an empty line is only a heartbeat.
func (d *Directory) applyList(text []byte) error {
	if len(bytes.TrimSpace(text)) == 0 {
		return nil
	}
	l, err := parseList(text)
	if err != nil {
		return err
	}
	if !l.Full && (d.needFull || l.Version < d.version) { // a change to another list
		return fmt.Errorf("a change to version %d after version %d", l.Version, d.version)
	}
	slog.Info("listed", "part", "directory", "version", l.Version, "after", d.version, "whole", l.Full, "entries", len(l.entries))
	d.version = l.Version
	if l.Full {
		d.needFull = false
	}
	d.onUpdate(d.ids.update(l))
	return nil
}

// watchLine is one line of a watch, or the error that ended it.
type watchLine struct {
	text []byte
	err  error
}

// readWatch fills the mailbox from the platform: the full list if needed, then the changes after it.
func (d *Directory) readWatch(ctx context.Context, mailbox chan<- watchLine, url string, needFull bool, version int64) {
	defer close(mailbox)
	post := func(l watchLine) bool {
		select {
		case mailbox <- l:
			return l.err == nil
		case <-ctx.Done():
			return false
		}
	}
	if needFull {
		body, err := d.get(ctx, url)
		if err != nil {
			post(watchLine{err: err})
			return
		}
		text, err := io.ReadAll(io.LimitReader(body, maxListBytes))
		body.Close()
		if l, parseErr := parseList(text); err == nil && parseErr == nil {
			version = l.Version
		}
		if !post(watchLine{text, err}) {
			return
		}
	}
	body, err := d.get(ctx, fmt.Sprintf("%s?stream=1&index=%d", url, version))
	if err != nil {
		post(watchLine{err: err})
		return
	}
	defer body.Close()
	// Lists follow one another, each possibly on several lines; any data between them is a heartbeat.
	limited := &limitedReader{Reader: body, remaining: maxListBytes, onData: func() { post(watchLine{}) }}
	decoder := json.NewDecoder(limited)
	for {
		var list json.RawMessage
		if err := decoder.Decode(&list); err == io.EOF {
			return
		} else if err != nil {
			post(watchLine{err: err})
			return
		}
		limited.remaining = maxListBytes
		if !post(watchLine{text: list}) {
			return
		}
	}
}

// limitedReader limits the bytes read for one list, as an endless one must not fill the memory.
type limitedReader struct {
	io.Reader
	remaining int
	onData    func()
}

func (b *limitedReader) Read(buf []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errors.New("list is too large")
	}
	n, err := b.Reader.Read(buf)
	b.remaining -= n
	if n > 0 {
		b.onData()
	}
	return n, err
}

// maxListBytes limits the size of one list.
const maxListBytes = 4 << 20

func (d *Directory) get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("platform responded with status %s", resp.Status)
	}
	return resp.Body, nil
}
