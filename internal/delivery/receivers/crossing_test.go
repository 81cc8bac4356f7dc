package receivers

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"emberquay/control"
)

// writes counts what is written to it, call by call.
type writes struct{ sizes []int }

func (w *writes) Write(b []byte) (int, error) {
	w.sizes = append(w.sizes, len(b))
	return len(b), nil
}

// An order was called twice: its head had gone out, and its body had not when the call was given up. Head and body of a
// usual text go in one write, so that a receiver sees all of it or nothing.
func TestHeadAndBodyGoTogether(t *testing.T) {
	for _, size := range []int{0, 1, 2000} {
		call := NewCall("t1", "mark", bytes.Repeat([]byte("x"), size), time.Second, nil)
		call.addr = "127.0.0.1:1"
		var w writes
		buffer := bufio.NewWriter(&w) // as http.Transport has one for each connection
		if err := call.request().Write(buffer); err != nil {
			t.Fatal(err)
		}
		buffer.Flush()
		if len(w.sizes) != 1 {
			t.Errorf("%d bytes of body: %d writes, of %v bytes", size, len(w.sizes), w.sizes)
		}
	}
}

// Of a call that is given up before any of it is written nothing is written later, and it says so. One of which some was
// written may have run.
func TestASealedConnectionWritesNothing(t *testing.T) {
	far, near := net.Pipe()
	defer far.Close()
	c := &conn{Conn: near, fleet: fleet("127.0.0.1:1")}
	defer c.Close()
	c.begin(nil, nil)
	if !c.seal() {
		t.Error("nothing was written")
	}
	if n, err := c.Write([]byte("late")); n != 0 || err != errOverdue {
		t.Errorf("%d bytes are written, %v", n, err)
	}
	c.begin(nil, nil)
	go far.Read(make([]byte, 9))
	if _, err := c.Write([]byte("some")); err != nil {
		t.Fatal(err)
	}
	if c.seal() {
		t.Error("some was written")
	}
}

// Calls whose time is over at any moment of their way: what is said never to have run was not even begun at the receiver.
func TestGivenUpAtAnyMoment(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var mu sync.Mutex
	seen := map[string]bool{}
	var reading sync.WaitGroup
	reading.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			reading.Go(func() { // says nothing; the first bytes name the text
				defer c.Close()
				head := make([]byte, 4096)
				n, _ := c.Read(head)
				for _, line := range bytes.Split(head[:n], []byte("\r\n")) {
					if id, ok := bytes.CutPrefix(line, []byte("X-Call-Id: ")); ok {
						mu.Lock()
						seen[string(id)] = true
						mu.Unlock()
					}
				}
				c.Read(head) // until the call is given up
			})
		}
	})
	many := limits
	many.MaxReceiverConns, many.MaxCalls = 64, 64
	f := New(many, nil)
	f.SetAddress(1, l.Addr().String())
	const calls = 600
	var mine sync.WaitGroup
	outcomes := make([]control.Outcome, calls)
	places := make(chan bool, 32)
	for i := range calls {
		places <- true
		mine.Add(1)
		wait := time.Duration(i%100) * 5 * time.Microsecond
		call := NewCall(fmt.Sprint(i), "mark", []byte("body"), wait, func(r control.Result) {
			outcomes[i] = r.Outcome
			<-places
			mine.Done()
		})
		if !f.Submit(1, call) {
			t.Fatal("not submitted")
		}
	}
	mine.Wait()
	l.Close()
	reading.Wait()
	told := map[control.Outcome]int{}
	for i, o := range outcomes {
		told[o]++
		if !o.MayHaveRun() && seen[fmt.Sprint(i)] {
			t.Errorf("call %d is said not to have run (%v), and reached the receiver", i, o)
		}
	}
	t.Log(told)
}
