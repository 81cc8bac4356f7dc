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

// writeRecorder records the size of each write.
type writeRecorder struct{ sizes []int }

func (w *writeRecorder) Write(b []byte) (int, error) {
	w.sizes = append(w.sizes, len(b))
	return len(b), nil
}

// A text was delivered twice because a call was cancelled after its head was written and before its body was. Head and body
// of a text of usual size go out in one write, so that a receiver sees all of it or nothing.
func TestHeadAndBodyAreOneWrite(t *testing.T) {
	for _, size := range []int{0, 1, 2000} {
		call := NewCall("t1", "mark", bytes.Repeat([]byte("x"), size), time.Second, nil)
		call.addr = "127.0.0.1:1"
		var w writeRecorder
		buffer := bufio.NewWriter(&w) // like the one that http.Transport has for each connection
		if err := call.request().Write(buffer); err != nil {
			t.Fatal(err)
		}
		buffer.Flush()
		if len(w.sizes) != 1 {
			t.Errorf("%d bytes of body: %d writes, of %v bytes", size, len(w.sizes), w.sizes)
		}
	}
}

// After preventWrites nothing of a call that has not been written is written later. A call that was written in part may
// have run.
func TestPreventWrites(t *testing.T) {
	far, near := net.Pipe()
	defer far.Close()
	c := &conn{Conn: near, pool: newPool("127.0.0.1:1")}
	defer c.Close()
	c.startCall(nil, nil)
	if !c.preventWrites() {
		t.Error("false although nothing was written")
	}
	if n, err := c.Write([]byte("late")); n != 0 || err != errTooLate {
		t.Errorf("%d bytes written, %v", n, err)
	}
	c.startCall(nil, nil)
	go far.Read(make([]byte, 9))
	if _, err := c.Write([]byte("some")); err != nil {
		t.Fatal(err)
	}
	if c.preventWrites() {
		t.Error("true although some was written")
	}
}

// Calls time out at every stage: a call whose outcome says that it cannot have run must not have reached the receiver.
func TestTimeoutAtAnyMoment(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var mu sync.Mutex
	seen := map[string]bool{}
	var readers sync.WaitGroup
	readers.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			readers.Go(func() { // sends no response; the first bytes contain the text ID
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
				c.Read(head) // until the call ends
			})
		}
	})
	manyLimits := limits
	manyLimits.MaxReceiverConns, manyLimits.MaxCalls = 64, 64
	pool := New(manyLimits, nil)
	pool.SetAddress(1, l.Addr().String())
	const calls = 600
	var pending sync.WaitGroup
	outcomes := make([]control.Outcome, calls)
	slots := make(chan bool, 32)
	for i := range calls {
		slots <- true
		pending.Add(1)
		wait := time.Duration(i%100) * 5 * time.Microsecond
		call := NewCall(fmt.Sprint(i), "mark", []byte("body"), wait, func(r control.Result) {
			outcomes[i] = r.Outcome
			<-slots
			pending.Done()
		})
		if !pool.Submit(1, call) {
			t.Fatal("not submitted")
		}
	}
	pending.Wait()
	l.Close()
	readers.Wait()
	counts := map[control.Outcome]int{}
	for i, o := range outcomes {
		counts[o]++
		if !o.MayHaveRun() && seen[fmt.Sprint(i)] {
			t.Errorf("call %d reached the receiver, but its outcome %v says that it cannot have run", i, o)
		}
	}
	t.Log(counts)
}
