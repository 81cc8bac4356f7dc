// Command simadapter puts the decisions of package control on the wire onyx-7696: standard input to
// standard output, many instances a process, nothing shared between them.
package main

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"strings"

	"emberquay/control"
	"emberquay/internal/delivery/simwire"
)

// perTenth is how many of the wire's microseconds make one of the module's tenths of a millisecond.
const perTenth = 100

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// instance is one sender and what it has to say in the batch at hand.
type instance struct {
	who    int64
	sender *control.Sender
	reply  bytes.Buffer
	listed bool // stands in adapter.heard
	broken bool // a fault was told; the day is over for it
}

type adapter struct {
	instances map[int64]*instance
	lists     map[int64][]control.ReceiverEntry
	heard     []*instance // those with an event in this batch, in order
	now       control.Time
	running   bool // inside a batch
}

func run(in io.Reader, out io.Writer) error {
	d := &adapter{instances: map[int64]*instance{}, lists: map[int64][]control.ReceiverEntry{}}
	lines, w := simwire.NewReader(in), bufio.NewWriterSize(out, 1<<16)
	round := ""
	for {
		l, err := lines.Next()
		if errors.Is(err, io.EOF) {
			if d.running {
				return errors.New("input ends inside a batch")
			}
			return nil
		}
		if err != nil {
			return err
		}
		switch {
		case l.Name == "CLOCK" && !d.running:
			d.now = control.Time(l.Whole("AtTimeUs", 0, math.MaxInt64) / perTenth)
			l.Whole("round", 0, math.MaxInt64)
			round, d.running = l.Opt("round"), true
		case l.Name == "CLOCK" || !d.running:
			return fmt.Errorf("line %d: %s: not expected here", l.No, l.Name)
		case l.Name == "COMMIT":
			d.commit(w)
			fmt.Fprintf(w, "FINISHED round=%s\n", round)
			if err := w.Flush(); err != nil {
				return err
			}
		case l.Name == "DIRECTORY":
			err = d.directory(l, lines)
		default:
			err = d.event(l)
		}
		if err = errors.Join(l.Err(), err); err != nil {
			return err
		}
	}
}

// commit lets every instance that heard something decide, and writes what they all had to say.
func (d *adapter) commit(w io.Writer) {
	for _, i := range d.heard {
		i.guard(func() { i.sender.Schedule() })
		w.Write(i.reply.Bytes())
		i.reply.Reset()
		i.listed = false
	}
	d.heard, d.running = d.heard[:0], false
}

// guard runs a call on the module; a panic in it is told as the instance's fault.
func (i *instance) guard(call func()) {
	if i.broken || i.sender == nil {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			i.fault(fmt.Sprint("panic: ", p))
		}
	}()
	call()
}

func (i *instance) fault(what string) {
	i.broken = true
	i.say("BUG Who=%d Msg=%s", i.who, strings.ReplaceAll(what, "\n", " "))
}

func (i *instance) say(format string, parts ...any) {
	fmt.Fprintf(&i.reply, format, parts...)
	i.reply.WriteByte('\n')
}

func (d *adapter) directory(l *simwire.Line, lines *simwire.Reader) error {
	ref, count := l.Whole("Ref", 0, 15), l.Whole("Elements", 0, 1<<24)
	var entries []control.ReceiverEntry
	for range count {
		m, err := lines.Next()
		if err != nil {
			return fmt.Errorf("line %d: DIRECTORY: its entries are cut short: %w", l.No, err)
		}
		if m.Name != "M" {
			return fmt.Errorf("line %d: %s: an entry M was expected", m.No, m.Name)
		}
		e := control.ReceiverEntry{
			Receiver:    control.ReceiverID(m.Whole("Receiver", 0, math.MaxUint32)),
			Rate:        m.OptNumber("Units"),
			Destination: m.Whole("Destination", math.MinInt64, math.MaxInt64),
			Kind:        m.Opt("Type"),
			Zone:        m.Opt("Hall"),
		}
		switch c := m.Word("Condition"); c {
		case "up":
			e.State = control.Up
		case "draining":
			e.State = control.Draining
		case "removed":
			e.State = control.Removed
		default:
			m.Fault("Condition", fmt.Sprintf("%q is not known", c))
		}
		if m.Err() != nil {
			return m.Err()
		}
		entries = append(entries, e)
	}
	d.lists[ref] = entries
	return nil
}

// event hands one line to the instance that it is for.
func (d *adapter) event(l *simwire.Line) error {
	who := l.Whole("Who", 0, math.MaxInt32)
	if l.Err() != nil {
		return nil
	}
	switch l.Name {
	case "SPAWN":
		i := &instance{who: who}
		d.drop(who)
		d.instances[who] = i
		d.hears(i)
		return d.spawn(l, i)
	case "POWER_OFF":
		d.drop(who)
		return nil
	}
	i := d.instances[who]
	if i == nil {
		return fmt.Errorf("line %d: %s: field Who: instance %d does not run", l.No, l.Name, who)
	}
	d.hears(i)
	s := i.sender
	switch l.Name {
	case "INGRESS":
		a := control.Arrival{
			ID:          l.Word("OpId"),
			Product:     l.Word("Priority"),
			Destination: l.Whole("BoundFor", math.MinInt64, math.MaxInt64),
			TimeLeft:    control.Time(l.Whole("PatienceLeftUs", math.MinInt64, math.MaxInt64) / perTenth),
			Key:         l.Opt("PathKey"),
			Brand:       l.Opt("Party"),
			Retry:       l.Flag("Retry"),
			Returned:    l.Flag("Returned"),
		}
		return i.call(l, func() { s.HandleArrival(a) })
	case "ATTEMPT_END":
		id, n := l.Word("OpId"), int(l.Whole("SeqNo", 0, math.MaxInt32))
		l.Whole("Receiver", 0, math.MaxUint32)
		r := result(l)
		return i.call(l, func() { s.HandleResult(id, n, r) })
	case "PING_RESULT": // none is asked for
		l.Whole("Receiver", 0, math.MaxUint32)
		result(l)
		return nil
	case "ABORTED":
		id := l.Word("OpId")
		return i.call(l, func() { s.Withdraw(id) })
	case "ACK_FIRST":
		id := l.Word("OpId")
		return i.call(l, func() { s.HandleResponseStart(id) })
	case "BELL":
		l.Whole("Mark", 0, math.MaxInt64)
		return i.call(l, func() { s.SetTime(d.now) })
	case "PEER_DATA":
		from := int(l.Whole("Neighbour", 0, math.MaxInt32))
		content, err := hex.DecodeString(strings.TrimSuffix(l.Word("Content"), "-"))
		if err != nil {
			l.Fault("Content", "no hex digits")
		}
		return i.call(l, func() { s.HandlePeerNote(from, content) })
	case "UPDATE":
		scope := l.Word("Scope")
		if scope == "Error" {
			return i.call(l, func() { s.HandleWatchEnd() })
		}
		ref := l.Whole("Ref", 0, 15)
		l.Whole("Generation", 0, math.MaxInt64)
		entries, known := d.lists[ref]
		switch {
		case l.Err() != nil:
		case !known:
			l.Fault("Ref", "no such list yet")
		case scope != "Partial" && scope != "Complete" && scope != "Persisted":
			l.Fault("Scope", fmt.Sprintf("%q is not known", scope))
		}
		return i.call(l, func() { s.UpdateReceivers(scope != "Partial", entries) })
	}
	return fmt.Errorf("line %d: %s: no such message", l.No, l.Name)
}

// call makes one call on the module, unless the line was at fault.
func (i *instance) call(l *simwire.Line, do func()) error {
	if l.Err() == nil {
		i.guard(do)
	}
	return nil
}

func (d *adapter) spawn(l *simwire.Line, i *instance) error {
	seed, settings := l.Seed("InitSeed"), control.Settings{}
	for _, f := range l.Fields {
		settings[f.Name] = f.Value
	}
	if l.Err() != nil {
		return nil
	}
	var err error
	if i.sender, err = control.New(seed, settings, i); err != nil {
		i.fault(err.Error())
		return nil
	}
	i.guard(func() { i.sender.SetTime(d.now) })
	return nil
}

// hears notes that an instance has an event in this batch and tells it the time.
func (d *adapter) hears(i *instance) {
	if !i.listed {
		i.listed = true
		d.heard = append(d.heard, i)
		i.guard(func() { i.sender.SetTime(d.now) })
	}
}

// drop forgets an instance and all it meant to say: its texts are void.
func (d *adapter) drop(who int64) {
	if i := d.instances[who]; i != nil {
		i.reply.Reset()
		i.sender = nil
		delete(d.instances, who)
	}
}

func result(l *simwire.Line) control.Result {
	r := control.Result{
		Final:  l.Flag("Final"),
		Took:   control.Time(l.OptWhole("TookUs", 0, math.MaxInt64) / perTenth),
		Report: l.Numbers("HealthInfo"),
	}
	remark := l.OptWhole("RemarkMs", 0, math.MaxInt64/100)
	switch status := l.Word("Status"); status {
	case "served":
		r.Outcome = control.Delivered
	case "server_error":
		r.Outcome = control.Errored
	case "turned_away":
		r.Outcome, r.RetryAfter = control.Refused, control.Time(remark*(1000/perTenth))
	case "no_answer":
		r.Outcome = control.NoAnswer
	case "no_connection":
		r.Outcome = control.NoConnection
	case "connection_lost":
		r.Outcome = control.ConnectionLost
	case "called_off":
		r.Outcome = control.Cancelled
	case "not_sent":
		r.Outcome = control.Unsent
	default:
		l.Fault("Status", fmt.Sprintf("%q is not known", status))
	}
	return r
}

// The outlet: what the module wants done, as lines of the reply.

func (i *instance) Submit(text string, to control.ReceiverID, timeout control.Time) {
	i.say("ATTEMPT Who=%d OpId=%s Receiver=%d CapUs=%d", i.who, text, to, timeout*perTenth)
}

func (i *instance) Cancel(text string, submit int) {
	i.say("ABANDON Who=%d OpId=%s SeqNo=%d", i.who, text, submit)
}

func (i *instance) Nack(text string, comeBack control.Time) {
	i.say("OVERLOAD_REPLY Who=%d OpId=%s ComeBackUs=%d", i.who, text, comeBack*perTenth)
}

func (i *instance) MarkUndeliverable(text string) { i.say("END_FAILED Who=%d OpId=%s", i.who, text) }

func (i *instance) WakeAt(at control.Time, mark int64) {
	i.say("SLEEP Who=%d InstantUs=%d Mark=%d", i.who, at*perTenth, mark)
}

func (i *instance) CloseIdle(to control.ReceiverID) { i.say("CLOSE Who=%d Receiver=%d", i.who, to) }

func (i *instance) WatchReceivers() { i.say("SUBSCRIBE Who=%d Enable=1", i.who) }

func (i *instance) Broadcast(content []byte) {
	i.say("SAY Who=%d To=all Content=%s", i.who, hex.EncodeToString(content))
}

func (i *instance) Log(line string) { i.say("JOURNAL_LINE Who=%d Msg=%s", i.who, line) }
