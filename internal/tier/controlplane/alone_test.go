package controlplane

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/registration/snapshot"
	"emberquay/internal/tier/settings"
	"emberquay/internal/vfs"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// planeOf starts a control plane of three on a loopback address of its own.
func planeOf(at int, ports [2]int, seeds []string, dir string, bootstrap bool) *Plane {
	GinkgoHelper()
	ip := "127.0.1." + strconv.Itoa(at)
	node := &settings.Node{
		Name: "front-" + strconv.Itoa(at), IP: ip, Zone: "z" + strconv.Itoa(at), Region: "r",
		Serves: []string{settings.ServesControl}, InternalPorts: ports, Seeds: seeds,
		Bootstrap: bootstrap, CountsForQuorum: true, DataDir: dir, HeartbeatInterval: time.Second,
	}
	node.Listen.Control = seeds[at-1]
	node.Limits.DiskMB, node.Limits.MemoryMB, node.Limits.MaxFDs = 64, 244, 4100
	node.Tolerance.Machines = 1
	plane, err := Start(node, &log.Logger{Handler: discard.Default})
	Expect(err).NotTo(HaveOccurred())
	return plane
}

// freePorts are two that nobody uses at present, far enough from each other.
func freePorts() (internal, control int) {
	GinkgoHelper()
	var ports []int
	for range 2 {
		l, err := net.Listen("tcp4", "127.0.1.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports[0], ports[1]
}

// threePlaces are ports, seeds and empty disks for three control planes.
func threePlaces() (ports [2]int, seeds, dirs []string) {
	GinkgoHelper()
	internal, control := freePorts()
	for at := 1; at <= 3; at++ {
		seeds = append(seeds, net.JoinHostPort("127.0.1."+strconv.Itoa(at), strconv.Itoa(control)))
		dirs = append(dirs, GinkgoT().TempDir())
	}
	return [2]int{internal, internal + 15}, seeds, dirs
}

// end stops a control plane, within a second.
func end(plane *Plane) {
	short, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	plane.Shutdown(short, time.Now())
}

// call is one of the calls that a control plane serves.
type call struct {
	what, method, path, base, body string
}

var (
	readCall     = call{"read", "GET", "/api/Config.Read", "", ""}
	replaceCall  = call{"replace", "POST", "/api/Config.Replace", "1", `{"version":2,"services":[{"name":"s"}],"routes":[]}`}
	staleCall    = call{"replace on a stale base", "POST", "/api/Config.Replace", "0", `{"version":5,"services":[],"routes":[]}`}
	invalidCall  = call{"replace by an invalid one", "POST", "/api/Config.Replace", "1", `{"version":2,"routes":[{"name":"r"}]}`}
	modifyCall   = call{"modify", "POST", "/api/Config.Modify", "1", `{"version":2,"upsert":{"services":[{"name":"t"}]}}`}
	retireCall   = call{"retire", "POST", "/api/Retire.Start/store-1", "", `{"deadline_s":10}`}
	retiredCall  = call{"reading of a retirement", "GET", "/api/Retire.Read/store-1", "", ""}
	readyCall    = call{"heartbeat", "POST", "/api/Instances.Heartbeat/i-1", "", `{"service":"s","address":"127.0.2.1:80","zone":"z1","slots":2,"state":"ready","sequence":1}`}
	drainingCall = call{"heartbeat of one that drains", "POST", "/api/Instances.Heartbeat/i-1", "", `{"service":"s","address":"127.0.2.1:80","zone":"z1","slots":2,"state":"draining","sequence":2}`}
	againCall    = call{"the same again", "POST", "/api/Instances.Heartbeat/i-1", "", `{"service":"s","address":"127.0.2.1:80","zone":"z1","slots":2,"state":"draining","sequence":3}`}
	baselessCall = call{"replace on a base that is no number", "POST", "/api/Config.Replace", "one", `{"version":2}`}
	negativeCall = call{"modify on a negative base", "POST", "/api/Config.Modify", "-1", `{"version":2}`}
	endlessCall  = call{"replace by more than is read", "POST", "/api/Config.Replace", "1", strings.Repeat(" ", maxOrderBytes+1)}
	brokenCall   = call{"heartbeat that is cut short", "POST", "/api/Instances.Heartbeat/i-2", "", `{"service":`}
	leaveCall    = call{"leave", "POST", "/api/Instances.Leave/i-1", "", ""}
)

func (c call) at(address string) (status int, body string, took time.Duration) {
	GinkgoHelper()
	began := time.Now()
	request, err := http.NewRequest(c.method, "http://"+address+c.path, bytes.NewBufferString(c.body))
	Expect(err).NotTo(HaveOccurred())
	if c.base != "" {
		request.Header.Set(versionHeader, c.base)
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	all, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(all), time.Since(began)
}

// What a control plane answers that reaches no other: no order is taken or refused, nothing old is read, no end of a
// receiver is acknowledged. docs/notes/control-side.md has the same table.
var _ = Describe("a control plane that is cut off from the others", func() {
	It("promises nothing, and goes on once a majority is back", func(ctx SpecContext) {
		ports, seeds, dirs := threePlaces()
		planes := make([]*Plane, 3)
		for at := range planes {
			planes[at] = planeOf(at+1, ports, seeds, dirs[at], true)
		}
		stop := func(at int) {
			if planes[at] != nil {
				end(planes[at])
				planes[at] = nil
			}
		}
		DeferCleanup(func() {
			for at := range planes {
				stop(at)
			}
		})
		alone := seeds[0]
		first := call{"the first configuration", "POST", "/api/Config.Replace", "0", `{"version":1,"services":[{"name":"s"}],"routes":[]}`}
		Eventually(ctx, func() int { status, _, _ := first.at(alone); return status }).Should(Equal(200))
		Eventually(ctx, func() int { status, _, _ := readyCall.at(alone); return status }).Should(Equal(200))

		stop(1)
		stop(2)
		expectRefusedAs := func(c call, status int, most time.Duration) {
			defer GinkgoRecover()
			got, body, took := c.at(alone)
			Expect(got).To(Equal(status), "%s: %s", c.what, body)
			Expect(took).To(BeNumerically("<", most+time.Second), c.what)
		}
		var orders sync.WaitGroup
		for _, c := range []call{readCall, replaceCall, staleCall, invalidCall, modifyCall, retireCall, retiredCall} {
			orders.Go(func() { expectRefusedAs(c, 503, orderTimeout) })
		}
		orders.Wait()
		for _, c := range []call{baselessCall, negativeCall, endlessCall, brokenCall} {
			expectRefusedAs(c, 400, 0) // no state could make it valid
		}
		expectRefusedAs(readyCall, 200, confirmTimeout)
		for _, c := range []call{drainingCall, againCall, leaveCall, leaveCall} {
			expectRefusedAs(c, 503, confirmTimeout)
		}

		// One more is a majority: what was asked meanwhile has come into force, or not, but for what was stale or invalid.
		planes[1] = planeOf(2, ports, seeds, dirs[1], false)
		Eventually(ctx, func() int { status, _, _ := readCall.at(alone); return status }).Should(Equal(200))
		replaced, _, _ := replaceCall.at(alone)
		modified, _, _ := modifyCall.at(alone)
		Expect([]int{replaced, modified}).To(ConsistOf(200, 412))
		Eventually(ctx, func() int { status, _, _ := staleCall.at(alone); return status }).Should(Equal(412))
		_, body, _ := readCall.at(seeds[1])
		Expect(body).To(ContainSubstring(`"version":2`))
		Eventually(ctx, func() int { status, _, _ := leaveCall.at(alone); return status }).Should(Equal(200))
	}, SpecTimeout(2*time.Minute))
})

// drainsAtDisks counts the disks on which a receiver is kept as one that ends.
func drainsAtDisks(dirs []string, id string) (count int) {
	GinkgoHelper()
	for _, dir := range dirs {
		entries, err := snapshot.File{Files: vfs.OS{}, Dir: dir}.Load()
		Expect(err).NotTo(HaveOccurred())
		for _, e := range entries {
			record, err := records.ReceiverCodec.Decode(e.Value)
			if e.Key == cluster.ReceiverPrefix+id && err == nil && record.State != records.ReceiverReady {
				count++
			}
		}
	}
	return count
}

// All machines may lose power at the moment after an acknowledgement, also those that do not count.
var _ = Describe("the acknowledged end of a receiver", func() {
	It("is on the disks of a majority when it is acknowledged", func(ctx SpecContext) {
		ports, seeds, dirs := threePlaces()
		for at := range 3 {
			plane := planeOf(at+1, ports, seeds, dirs[at], true)
			DeferCleanup(end, plane)
		}
		Eventually(ctx, func() int { status, _, _ := leaveCall.at(seeds[0]); return status }).Should(Equal(200))
		for n := range 10 {
			id := "i-" + strconv.Itoa(10+n)
			ready, drains := readyCall, drainingCall
			ready.path, drains.path = "/api/Instances.Heartbeat/"+id, "/api/Instances.Heartbeat/"+id
			at := seeds[n%3]
			Expect(status(ready, at)).To(Equal(200))
			Eventually(ctx, func() int { return status(drains, at) }).Should(Equal(200))
			Expect(drainsAtDisks(dirs, id)).To(BeNumerically(">=", 2), id)
		}
	}, SpecTimeout(2*time.Minute))
})

func status(c call, address string) int {
	GinkgoHelper()
	status, _, _ := c.at(address)
	return status
}
