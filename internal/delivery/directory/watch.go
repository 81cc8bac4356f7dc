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

// Directory is the actor of the list. Its mailbox takes the lines of the watch; what they say is told in
// order, by one goroutine.
type Directory struct {
	base    string
	moves   chan string // addresses that it is told to go to
	limits  config.Limits
	client  *http.Client
	numbers *numbers
	version int64
	whole   bool // the whole list is wanted: there is none yet, or a change was missed
	pauses  *pauses
	ended   int // watches that were answered and ended, each within the time of a silence
	tell    func(Update)
}

// New makes the actor; news goes to tell. The seed is for the times at which it asks again.
func New(addr string, seed uint64, limits config.Limits, tell func(Update)) *Directory {
	return &Directory{base: base(addr), moves: make(chan string, 8), limits: limits, numbers: newNumbers(), whole: true, tell: tell,
		pauses: newPauses(seed, limits.ListRetryWindow),
		client: &http.Client{
			Transport:     &http.Transport{DisableCompression: true},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}
}

func base(addr string) string { return "http://" + addr + listPath }

// SetAddr posts that the list is told at another address from now on.
func (d *Directory) SetAddr(addr string) { d.moves <- addr }

// move goes there. The list may have changed meanwhile, so it is asked for whole.
func (d *Directory) move(addr string) error {
	d.base, d.whole = base(addr), true
	return errMoved
}

var (
	errMoved  = errors.New("moved")
	errSilent = errors.New("silent")
)

// Restore tells the list as this sender had it last, before Run.
func (d *Directory) Restore(raw []byte) error {
	l, err := parse(raw)
	if err != nil {
		return err
	}
	l.Full = true
	d.version, d.whole = l.Version, false
	d.tell(d.numbers.news(l))
	return nil
}

// Run follows the list until the context ends. A watch that ends or falls silent is made anew. A sender that knows a
// list need not ask at once: most of a fleet may have been started in the same moment.
func (d *Directory) Run(ctx context.Context) {
	if !d.whole {
		d.rest(ctx, d.pauses.first(d.limits.FirstListWindow))
	}
	for ctx.Err() == nil {
		began := time.Now()
		heard, err := d.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		slog.Warn("watch_ended", "part", "directory", "version", d.version, "after", time.Since(began), "err", err)
		upheld := heard || err == errMoved
		pause := d.pauses.next(upheld)
		// What the platform has for this sender counts as told whether or not anybody asks. After a silence one request
		// stays open all the time; one that was answered and then ended is opened again at once, and only a platform
		// that ends each one so is left alone for longer and longer.
		if upheld {
			if err == errMoved || time.Since(began) > d.limits.WatchSilenceTimeout {
				d.ended = 0
			}
			pause = min(pause, d.limits.MinRetryDelay<<min(d.ended, mostEnded))
			d.ended++
		}
		if err != errMoved && err != errSilent {
			d.rest(ctx, pause)
		}
	}
}

// mostEnded bounds how often the rest after a watch that ended doubles.
const mostEnded = 6

// rest waits, unless it is told to go to another address meanwhile.
func (d *Directory) rest(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case addr := <-d.moves:
		d.move(addr)
		d.pauses.next(true)
	case <-time.After(pause):
	}
}

// follow keeps one watch, with the whole list before it where that is wanted; heard: it has brought something.
func (d *Directory) follow(parent context.Context) (heard bool, err error) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	mail := make(chan line, d.limits.MailboxSize/16)
	go d.lines(ctx, mail, d.base, d.whole, d.version)
	silence := time.NewTimer(d.limits.WatchSilenceTimeout)
	defer silence.Stop()
	for {
		select {
		case <-silence.C:
			return heard, errSilent
		case addr := <-d.moves:
			return heard, d.move(addr)
		case l, more := <-mail:
			if !more {
				return heard, io.EOF
			}
			if l.err != nil {
				if spoilt := (*json.SyntaxError)(nil); errors.As(l.err, &spoilt) {
					d.whole = true // a change is lost with it
				}
				return heard, l.err
			}
			silence.Reset(d.limits.WatchSilenceTimeout)
			heard = true
			if err := d.take(l.text); err != nil {
				d.whole = true // a change is lost with it
				return heard, err
			}
		}
	}
}

// take tells what one line says; an empty one only that the watch lives.
func (d *Directory) take(text []byte) error {
	if len(bytes.TrimSpace(text)) == 0 {
		return nil
	}
	l, err := parse(text)
	if err != nil {
		return err
	}
	if !l.Full && (d.whole || l.Version < d.version) { // changes to a list that is not this one
		return fmt.Errorf("a change to version %d after version %d", l.Version, d.version)
	}
	slog.Info("listed", "part", "directory", "version", l.Version, "after", d.version, "whole", l.Full, "entries", len(l.hosts))
	d.version = l.Version
	if l.Full {
		d.whole = false
	}
	d.tell(d.numbers.news(l))
	return nil
}

// line is one of the watch, or why it ended.
type line struct {
	text []byte
	err  error
}

// lines fills the mailbox from the platform: the whole list if wanted, then the changes after it.
func (d *Directory) lines(ctx context.Context, mail chan<- line, base string, whole bool, version int64) {
	defer close(mail)
	post := func(l line) bool {
		select {
		case mail <- l:
			return l.err == nil
		case <-ctx.Done():
			return false
		}
	}
	if whole {
		body, err := d.get(ctx, base)
		if err != nil {
			post(line{err: err})
			return
		}
		text, err := io.ReadAll(io.LimitReader(body, mostList))
		body.Close()
		if l, bad := parse(text); err == nil && bad == nil {
			version = l.Version
		}
		if !post(line{text, err}) {
			return
		}
	}
	body, err := d.get(ctx, fmt.Sprintf("%s?stream=1&index=%d", base, version))
	if err != nil {
		post(line{err: err})
		return
	}
	defer body.Close()
	// Lists follow each other, over several lines perhaps; what comes between them tells that the watch lives.
	from := &bounded{Reader: body, left: mostList, came: func() { post(line{}) }}
	in := json.NewDecoder(from)
	for {
		var one json.RawMessage
		if err := in.Decode(&one); err == io.EOF {
			return
		} else if err != nil {
			post(line{err: err})
			return
		}
		from.left = mostList
		if !post(line{text: one}) {
			return
		}
	}
}

// bounded reads no more than so much for one list: one without end must not fill the memory.
type bounded struct {
	io.Reader
	left int
	came func()
}

func (b *bounded) Read(into []byte) (int, error) {
	if b.left <= 0 {
		return 0, errors.New("the list is too large")
	}
	n, err := b.Reader.Read(into)
	b.left -= n
	if n > 0 {
		b.came()
	}
	return n, err
}

// mostList bounds what is read as one list.
const mostList = 4 << 20

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
		return nil, fmt.Errorf("the platform answered %s", resp.Status)
	}
	return resp.Body, nil
}
