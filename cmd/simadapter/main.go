// Command simadapter runs package control behind the wire protocol onyx-7696 on standard input and
// output. One process runs many instances, which share nothing.
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

// microsPerTick converts the wire's microseconds to ticks of control.Time.
const microsPerTick = 100

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// instance is one sender and its reply lines in the current batch.
type instance struct {
	id      int64
	sender  *control.Sender
	reply   bytes.Buffer
	inBatch bool // is in adapter.touched
	failed  bool // a fault was reported; the instance gets no more calls
}

type adapter struct {
	instances map[int64]*instance
	lists     map[int64][]control.ReceiverEntry
	touched   []*instance // those with an event in this batch, in order of the first one
	now       control.Time
	inBatch   bool // between CLOCK and COMMIT
}

func run(in io.Reader, out io.Writer) error {
	d := &adapter{instances: map[int64]*instance{}, lists: map[int64][]control.ReceiverEntry{}}
	lines, w := simwire.NewReader(in), bufio.NewWriterSize(out, 1<<16)
	round := ""
	for {
		l, err := lines.Next()
		if errors.Is(err, io.EOF) {
			if d.inBatch {
				return errors.New("input ends inside a batch")
			}
			return nil
		}
		if err != nil {
			return err
		}
		switch {
		case l.Name == "CLOCK" && !d.inBatch:
			d.now = control.Time(l.Int("AtTimeUs", 0, math.MaxInt64) / microsPerTick)
			l.Int("round", 0, math.MaxInt64)
			round, d.inBatch = l.Optional("round"), true
		case l.Name == "CLOCK" || !d.inBatch:
			return fmt.Errorf("line %d: %s: not expected here", l.Number, l.Name)
		case l.Name == "COMMIT":
			d.commit(w)
			fmt.Fprintf(w, "FINISHED round=%s\n", round)
			if err := w.Flush(); err != nil {
				return err
			}
		case l.Name == "DIRECTORY":
			err = d.readDirectory(l, lines)
		default:
			err = d.handleEvent(l)
		}
		if err = errors.Join(l.Err(), err); err != nil {
			return err
		}
	}
}

// commit has every instance with an event in the batch decide, and writes their replies.
func (d *adapter) commit(w io.Writer) {
	for _, i := range d.touched {
		i.recoverPanics(func() { i.sender.Schedule() })
		w.Write(i.reply.Bytes())
		i.reply.Reset()
		i.inBatch = false
	}
	d.touched, d.inBatch = d.touched[:0], false
}

// recoverPanics calls the sender; a panic is reported as a fault of the instance.
func (i *instance) recoverPanics(f func()) {
	if i.failed || i.sender == nil {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			i.fail(fmt.Sprint("panic: ", p))
		}
	}()
	f()
}

func (i *instance) fail(message string) {
	i.failed = true
	i.writeLine("BUG Who=%d Msg=%s", i.id, strings.ReplaceAll(message, "\n", " "))
}

func (i *instance) writeLine(format string, args ...any) {
	fmt.Fprintf(&i.reply, format, args...)
	i.reply.WriteByte('\n')
}

func (d *adapter) readDirectory(l *simwire.Line, lines *simwire.Reader) error {
	ref, count := l.Int("Ref", 0, 15), l.Int("Elements", 0, 1<<24)
	var entries []control.ReceiverEntry
	for range count {
		m, err := lines.Next()
		if err != nil {
			return fmt.Errorf("line %d: DIRECTORY: input ends within its entries: %w", l.Number, err)
		}
		if m.Name != "M" {
			return fmt.Errorf("line %d: %s: an entry M was expected", m.Number, m.Name)
		}
		e := control.ReceiverEntry{
			Receiver:    control.ReceiverID(m.Int("Receiver", 0, math.MaxUint32)),
			Rate:        m.OptionalFloat("Units"),
			Destination: m.Int("Destination", math.MinInt64, math.MaxInt64),
			Kind:        m.Optional("Type"),
			Zone:        m.Optional("Hall"),
		}
		switch c := m.Required("Condition"); c {
		case "up":
			e.State = control.Up
		case "draining":
			e.State = control.Draining
		case "removed":
			e.State = control.Removed
		default:
			m.RecordError("Condition", fmt.Sprintf("%q is not known", c))
		}
		if m.Err() != nil {
			return m.Err()
		}
		entries = append(entries, e)
	}
	d.lists[ref] = entries
	return nil
}

// handleEvent passes one line to its instance.
func (d *adapter) handleEvent(l *simwire.Line) error {
	id := l.Int("Who", 0, math.MaxInt32)
	if l.Err() != nil {
		return nil
	}
	switch l.Name {
	case "SPAWN":
		i := &instance{id: id}
		d.remove(id)
		d.instances[id] = i
		d.touch(i)
		return d.start(l, i)
	case "POWER_OFF":
		d.remove(id)
		return nil
	}
	i := d.instances[id]
	if i == nil {
		return fmt.Errorf("line %d: %s: field Who: instance %d does not run", l.Number, l.Name, id)
	}
	d.touch(i)
	s := i.sender
	switch l.Name {
	case "INGRESS":
		a := control.Arrival{
			ID:          l.Required("OpId"),
			Product:     l.Required("Priority"),
			Destination: l.Int("BoundFor", math.MinInt64, math.MaxInt64),
			TimeLeft:    control.Time(l.Int("PatienceLeftUs", math.MinInt64, math.MaxInt64) / microsPerTick),
			Key:         l.Optional("PathKey"),
			Brand:       l.Optional("Party"),
			Retry:       l.Bool("Retry"),
			Returned:    l.Bool("Returned"),
		}
		return i.call(l, func() { s.HandleArrival(a) })
	case "ATTEMPT_END":
		textID, number := l.Required("OpId"), int(l.Int("SeqNo", 0, math.MaxInt32))
		l.Int("Receiver", 0, math.MaxUint32)
		r := parseResult(l)
		return i.call(l, func() { s.HandleResult(textID, number, r) })
	case "PING_RESULT": // never requested
		l.Int("Receiver", 0, math.MaxUint32)
		parseResult(l)
		return nil
	case "ABORTED":
		textID := l.Required("OpId")
		return i.call(l, func() { s.Withdraw(textID) })
	case "ACK_FIRST":
		textID := l.Required("OpId")
		return i.call(l, func() { s.HandleResponseStart(textID) })
	case "BELL":
		l.Int("Mark", 0, math.MaxInt64)
		return i.call(l, func() { s.SetTime(d.now) })
	case "PEER_DATA":
		from := int(l.Int("Neighbour", 0, math.MaxInt32))
		content, err := hex.DecodeString(strings.TrimSuffix(l.Required("Content"), "-"))
		if err != nil {
			l.RecordError("Content", "not hexadecimal")
		}
		return i.call(l, func() { s.HandlePeerNote(from, content) })
	case "UPDATE":
		scope := l.Required("Scope")
		if scope == "Error" {
			return i.call(l, func() { s.HandleWatchEnd() })
		}
		ref := l.Int("Ref", 0, 15)
		l.Int("Generation", 0, math.MaxInt64)
		entries, known := d.lists[ref]
		switch {
		case l.Err() != nil:
		case !known:
			l.RecordError("Ref", "no DIRECTORY with this number yet")
		case scope != "Partial" && scope != "Complete" && scope != "Persisted":
			l.RecordError("Scope", fmt.Sprintf("%q is not known", scope))
		}
		return i.call(l, func() { s.UpdateReceivers(scope != "Partial", entries) })
	}
	return fmt.Errorf("line %d: %s: no such message", l.Number, l.Name)
}

// call calls the sender, unless the line is faulty.
func (i *instance) call(l *simwire.Line, f func()) error {
	if l.Err() == nil {
		i.recoverPanics(f)
	}
	return nil
}

func (d *adapter) start(l *simwire.Line, i *instance) error {
	seed, settings := l.Uint("InitSeed"), control.Settings{}
	for _, f := range l.Fields {
		settings[f.Name] = f.Value
	}
	if l.Err() != nil {
		return nil
	}
	var err error
	if i.sender, err = control.New(seed, settings, i); err != nil {
		i.fail(err.Error())
		return nil
	}
	i.recoverPanics(func() { i.sender.SetTime(d.now) })
	return nil
}

// touch records that an instance has an event in this batch and sets its time.
func (d *adapter) touch(i *instance) {
	if !i.inBatch {
		i.inBatch = true
		d.touched = append(d.touched, i)
		i.recoverPanics(func() { i.sender.SetTime(d.now) })
	}
}

// remove drops an instance and its unwritten reply: its texts are void.
func (d *adapter) remove(id int64) {
	if i := d.instances[id]; i != nil {
		i.reply.Reset()
		i.sender = nil
		delete(d.instances, id)
	}
}

func parseResult(l *simwire.Line) control.Result {
	r := control.Result{
		Final:  l.Bool("Final"),
		Took:   control.Time(l.OptionalInt("TookUs", 0, math.MaxInt64) / microsPerTick),
		Report: l.Floats("HealthInfo"),
	}
	remark := l.OptionalInt("RemarkMs", 0, math.MaxInt64/100)
	switch status := l.Required("Status"); status {
	case "served":
		r.Outcome = control.Delivered
	case "server_error":
		r.Outcome = control.Errored
	case "turned_away":
		r.Outcome, r.RetryAfter = control.Refused, control.Time(remark*(1000/microsPerTick))
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
		l.RecordError("Status", fmt.Sprintf("%q is not known", status))
	}
	return r
}

// Implementation of control.Actions: each call becomes a line of the reply.

func (i *instance) Submit(textID string, receiver control.ReceiverID, timeout control.Time) {
	i.writeLine("ATTEMPT Who=%d OpId=%s Receiver=%d CapUs=%d", i.id, textID, receiver, timeout*microsPerTick)
}

func (i *instance) Cancel(textID string, number int) {
	i.writeLine("ABANDON Who=%d OpId=%s SeqNo=%d", i.id, textID, number)
}

func (i *instance) Nack(textID string, retryAfter control.Time) {
	i.writeLine("OVERLOAD_REPLY Who=%d OpId=%s ComeBackUs=%d", i.id, textID, retryAfter*microsPerTick)
}

func (i *instance) MarkUndeliverable(textID string) {
	i.writeLine("END_FAILED Who=%d OpId=%s", i.id, textID)
}

func (i *instance) WakeAt(at control.Time, mark int64) {
	i.writeLine("SLEEP Who=%d InstantUs=%d Mark=%d", i.id, at*microsPerTick, mark)
}

func (i *instance) CloseIdle(receiver control.ReceiverID) {
	i.writeLine("CLOSE Who=%d Receiver=%d", i.id, receiver)
}

func (i *instance) WatchReceivers() { i.writeLine("SUBSCRIBE Who=%d Enable=1", i.id) }

func (i *instance) Broadcast(content []byte) {
	i.writeLine("SAY Who=%d To=all Content=%s", i.id, hex.EncodeToString(content))
}

func (i *instance) Log(line string) { i.writeLine("JOURNAL_LINE Who=%d Msg=%s", i.id, line) }
