package hollow

import (
	"os"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// tcpListen is the kernel's number of the state in which a socket only accepts.
const tcpListen = 10

// socketCount is what the kernel has counted on one end of a connection.
type socketCount struct{ sent, received, packets int64 }

// meter adds up what sockets carried. Those that end between two samples lose what they carried since the first
// of the two; those that are new count from their start.
type meter struct {
	last            map[uint64]socketCount // by inode
	internal, apiIn Traffic
	sockets         int
}

// Sample reads the counters of this process. The processor's time is read first: the reading itself costs some.
func (w *Worker) Sample() (Sample, error) {
	sample := Sample{At: time.Now(), CPU: processorTime()}
	resident, err := residentBytes()
	if err != nil {
		return sample, err
	}
	sample.Resident, sample.Heap, sample.Threads = resident, liveHeap(), runtime.NumGoroutine()
	for _, plane := range w.running() {
		sample.Delivered += plane.ReportsReceived()
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if err := w.meter.read(); err != nil {
		return sample, err
	}
	sample.Internal, sample.API, sample.Sockets = w.meter.internal, w.meter.apiIn, w.meter.sockets
	return sample, nil
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func residentBytes() (int64, error) {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, eris.Wrap(err, "hollow")
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, eris.New("/proc/self/statm: fewer than two numbers")
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), eris.Wrap(err, "/proc/self/statm")
}

func liveHeap() int64 {
	read := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(read)
	return int64(read[0].Value.Uint64())
}

// read goes through the descriptors of this process.
func (m *meter) read() error {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return eris.Wrap(err, "hollow")
	}
	present := make(map[uint64]socketCount, len(entries))
	m.sockets = 0
	for _, entry := range entries {
		fd, err := strconv.Atoi(entry.Name())
		if err != nil {
			continue
		}
		inode, count, api, connected := readSocket(fd)
		if !connected {
			continue
		}
		m.sockets++
		present[inode] = count
		before := m.last[inode]
		traffic := &m.internal
		if api {
			traffic = &m.apiIn
		}
		traffic.Sent += count.sent - before.sent
		traffic.Received += count.received - before.received
		traffic.Packets += count.packets - before.packets
	}
	m.last = present
	return nil
}

// readSocket reads the counters of a descriptor, if it is one end of a TCP connection.
func readSocket(fd int) (inode uint64, count socketCount, api, connected bool) {
	var stat unix.Stat_t
	if unix.Fstat(fd, &stat) != nil || stat.Mode&unix.S_IFMT != unix.S_IFSOCK {
		return 0, count, false, false
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State == tcpListen {
		return 0, count, false, false
	}
	count = socketCount{sent: int64(info.Bytes_acked), received: int64(info.Bytes_received), packets: int64(info.Segs_out)}
	return stat.Ino, count, isAPI(fd), true
}

// isAPI tells a connection of the operator or a receiver from one between nodes.
func isAPI(fd int) bool {
	local, err := unix.Getsockname(fd)
	if err != nil {
		return false
	}
	remote, err := unix.Getpeername(fd)
	return portOf(local) == controlPort || err == nil && portOf(remote) == controlPort
}

func portOf(address unix.Sockaddr) int {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return a.Port
	case *unix.SockaddrInet6:
		return a.Port
	}
	return 0
}
