package controlplane

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
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

// startPlane starts one of three control planes on a loopback address of its own, with a disk of 64 MB.
func startPlane(number int, ports [2]int, seeds []string, dir string, bootstrap bool) *Plane {
	GinkgoHelper()
	return startPlaneOnDisk(number, ports, seeds, dir, bootstrap, 64)
}

func startPlaneOnDisk(number int, ports [2]int, seeds []string, dir string, bootstrap bool, diskMB int) *Plane {
	GinkgoHelper()
	ip := "127.0.1." + strconv.Itoa(number)
	node := &settings.Node{
		Name: "front-" + strconv.Itoa(number), IP: ip, Zone: "z" + strconv.Itoa(number), Region: "r",
		Serves: []string{settings.ServiceControl}, InternalPorts: ports, Seeds: seeds,
		Bootstrap: bootstrap, CountsForQuorum: true, DataDir: dir, HeartbeatInterval: time.Second,
	}
	node.Listen.Control = seeds[number-1]
	node.Limits.DiskMB, node.Limits.MemoryMB, node.Limits.MaxFDs = diskMB, 244, 4100
	node.FaultTolerance.Machines = 1
	plane, err := Start(node, &log.Logger{Handler: discard.Default})
	Expect(err).NotTo(HaveOccurred())
	return plane
}

// freePorts returns two currently unused ports, which are assumed to be further apart than the range of internal ports.
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

// threePlaneSettings returns the ports, seeds and empty data directories of three control planes.
func threePlaneSettings() (ports [2]int, seeds, dirs []string) {
	GinkgoHelper()
	internal, control := freePorts()
	for number := 1; number <= 3; number++ {
		seeds = append(seeds, net.JoinHostPort("127.0.1."+strconv.Itoa(number), strconv.Itoa(control)))
		dirs = append(dirs, GinkgoT().TempDir())
	}
	return [2]int{internal, internal + 15}, seeds, dirs
}

// shutDown stops a control plane within a second.
func shutDown(plane *Plane) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	plane.Shutdown(ctx, time.Now())
}

// apiCall is a request to the HTTP API of a control plane.
type apiCall struct {
	name, method, path, base, body string
}

var (
	readCall           = apiCall{"read", "GET", "/api/Config.Read", "", ""}
	replaceCall        = apiCall{"replace", "POST", "/api/Config.Replace", "1", `{"version":2,"services":[{"name":"s"}],"routes":[]}`}
	staleCall          = apiCall{"replace on a stale base", "POST", "/api/Config.Replace", "0", `{"version":5,"services":[],"routes":[]}`}
	invalidCall        = apiCall{"replace by an invalid configuration", "POST", "/api/Config.Replace", "1", `{"version":2,"routes":[{"name":"r"}]}`}
	modifyCall         = apiCall{"modify", "POST", "/api/Config.Modify", "1", `{"version":2,"upsert":{"services":[{"name":"t"}]}}`}
	retireCall         = apiCall{"retire", "POST", "/api/Retire.Start/store-1", "", `{"deadline_s":10}`}
	readRetirementCall = apiCall{"read of a retirement", "GET", "/api/Retire.Read/store-1", "", ""}
	readyCall          = apiCall{"heartbeat", "POST", "/api/Instances.Heartbeat/i-1", "", `{"service":"s","address":"127.0.2.1:80","zone":"z1","slots":2,"state":"ready","sequence":1}`}
	drainingCall       = apiCall{"heartbeat of a draining receiver", "POST", "/api/Instances.Heartbeat/i-1", "", `{"service":"s","address":"127.0.2.1:80","zone":"z1","slots":2,"state":"draining","sequence":2}`}
	repeatedCall       = apiCall{"repeated heartbeat of a draining receiver", "POST", "/api/Instances.Heartbeat/i-1", "", `{"service":"s","address":"127.0.2.1:80","zone":"z1","slots":2,"state":"draining","sequence":3}`}
	invalidBaseCall    = apiCall{"replace on a base that is not a number", "POST", "/api/Config.Replace", "one", `{"version":2}`}
	negativeBaseCall   = apiCall{"modify on a negative base", "POST", "/api/Config.Modify", "-1", `{"version":2}`}
	tooLargeCall       = apiCall{"replace by a body above maxRequestBytes", "POST", "/api/Config.Replace", "1", strings.Repeat(" ", maxRequestBytes+1)}
	truncatedCall      = apiCall{"truncated heartbeat", "POST", "/api/Instances.Heartbeat/i-2", "", `{"service":`}
	leaveCall          = apiCall{"leave", "POST", "/api/Instances.Leave/i-1", "", ""}
)

func (c apiCall) send(address string) (status int, body string, took time.Duration) {
	GinkgoHelper()
	start := time.Now()
	request, err := http.NewRequest(c.method, "http://"+address+c.path, bytes.NewBufferString(c.body))
	Expect(err).NotTo(HaveOccurred())
	if c.base != "" {
		request.Header.Set(versionHeader, c.base)
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response.StatusCode, string(content), time.Since(start)
}

// A control plane that reaches no other one must not accept or refuse a change, answer a read with stale state, or
// acknowledge the end of a receiver. docs/notes/control-side.md has the same table.
var _ = Describe("a control plane that is cut off from the others", func() {
	It("acknowledges nothing, and continues once a majority is back", func(ctx SpecContext) {
		ports, seeds, dirs := threePlaneSettings()
		planes := make([]*Plane, 3)
		for i := range planes {
			planes[i] = startPlane(i+1, ports, seeds, dirs[i], true)
		}
		stopPlane := func(i int) {
			if planes[i] != nil {
				shutDown(planes[i])
				planes[i] = nil
			}
		}
		DeferCleanup(func() {
			for i := range planes {
				stopPlane(i)
			}
		})
		address := seeds[0]
		first := apiCall{"the first configuration", "POST", "/api/Config.Replace", "0", `{"version":1,"services":[{"name":"s"}],"routes":[]}`}
		Eventually(ctx, func() int { status, _, _ := first.send(address); return status }).Should(Equal(200))
		Eventually(ctx, func() int { status, _, _ := readyCall.send(address); return status }).Should(Equal(200))

		stopPlane(1)
		stopPlane(2)
		expectStatus := func(c apiCall, status int, bound time.Duration) {
			defer GinkgoRecover()
			got, body, took := c.send(address)
			Expect(got).To(Equal(status), "%s: %s", c.name, body)
			Expect(took).To(BeNumerically("<", bound+time.Second), c.name)
		}
		var orders sync.WaitGroup
		for _, c := range []apiCall{readCall, replaceCall, staleCall, invalidCall, modifyCall, retireCall, readRetirementCall} {
			orders.Go(func() { expectStatus(c, 503, requestTimeout) })
		}
		orders.Wait()
		for _, c := range []apiCall{invalidBaseCall, negativeBaseCall, tooLargeCall, truncatedCall} {
			expectStatus(c, 400, 0) // invalid in any state
		}
		expectStatus(readyCall, 200, confirmTimeout)
		for _, c := range []apiCall{drainingCall, repeatedCall, leaveCall, leaveCall} {
			expectStatus(c, 503, confirmTimeout)
		}

		// With a second plane there is a majority. Requests sent meanwhile may or may not have taken effect, except for the
		// stale and the invalid ones, which must not.
		planes[1] = startPlane(2, ports, seeds, dirs[1], false)
		Eventually(ctx, func() int { status, _, _ := readCall.send(address); return status }).Should(Equal(200))
		replaced, _, _ := replaceCall.send(address)
		modified, _, _ := modifyCall.send(address)
		Expect([]int{replaced, modified}).To(ConsistOf(200, 412))
		Eventually(ctx, func() int { status, _, _ := staleCall.send(address); return status }).Should(Equal(412))
		_, body, _ := readCall.send(seeds[1])
		Expect(body).To(ContainSubstring(`"version":2`))
		Eventually(ctx, func() int { status, _, _ := leaveCall.send(address); return status }).Should(Equal(200))
	}, SpecTimeout(2*time.Minute))
})

// countDisksWithEnd counts the disks on which a receiver is saved as draining or left.
func countDisksWithEnd(dirs []string, id string) (count int) {
	GinkgoHelper()
	for _, dir := range dirs {
		entries, err := snapshot.File{FS: vfs.OS{}, Dir: dir}.Load()
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

// All machines may lose power right after an acknowledgement, also those that do not count for the quorum.
var _ = Describe("the acknowledged end of a receiver", func() {
	It("is on the disks of a majority when it is acknowledged", func(ctx SpecContext) {
		ports, seeds, dirs := threePlaneSettings()
		for i := range 3 {
			plane := startPlane(i+1, ports, seeds, dirs[i], true)
			DeferCleanup(shutDown, plane)
		}
		Eventually(ctx, func() int { status, _, _ := leaveCall.send(seeds[0]); return status }).Should(Equal(200))
		for n := range 10 {
			id := "i-" + strconv.Itoa(10+n)
			ready, draining := readyCall, drainingCall
			ready.path, draining.path = "/api/Instances.Heartbeat/"+id, "/api/Instances.Heartbeat/"+id
			address := seeds[n%3]
			Expect(statusOf(ready, address)).To(Equal(200))
			Eventually(ctx, func() int { return statusOf(draining, address) }).Should(Equal(200))
			Expect(countDisksWithEnd(dirs, id)).To(BeNumerically(">=", 2), id)
		}
	}, SpecTimeout(2*time.Minute))
})

// Guards against a control plane that answers 503 for good, and never votes again, because the seeds in its settings are all
// down, though the others have found it and it knows them from the cluster.
var _ = Describe("a control plane whose seeds are all down", func() {
	It("finds the members by what the cluster knows", func(ctx SpecContext) {
		ports, seeds, dirs := threePlaneSettings()
		for i := range 2 {
			plane := startPlane(i+1, ports, seeds, dirs[i], true)
			DeferCleanup(shutDown, plane)
		}
		third := startPlane(3, ports, seeds, dirs[2], true)
		firstCall := apiCall{"first configuration", "POST", "/api/Config.Replace", "0", `{"version":1,"services":[{"name":"s"}],"routes":[]}`}
		Eventually(ctx, func() int { return statusOf(firstCall, seeds[0]) }).Should(Equal(200))
		Eventually(ctx, func() int { return statusOf(readCall, seeds[2]) }).Should(Equal(200))
		third.server.Close()
		third.close()
		Expect(os.RemoveAll(dirs[2])).To(Succeed())
		third = startPlane(3, ports, []string{"127.0.99.98:1", "127.0.99.99:1", seeds[2]}, dirs[2], false)
		DeferCleanup(func() { shutDown(third) })
		Eventually(ctx, func() int { return statusOf(readCall, seeds[2]) }).WithTimeout(20 * time.Second).Should(Equal(200))
		Eventually(ctx, func() bool { return third.replica.Status().IsMember }).WithTimeout(20 * time.Second).Should(BeTrue())
	}, SpecTimeout(time.Minute))
})

// Guards against a receiver's end that is acknowledged late because the whole configuration is written with it.
var _ = Describe("the saved configuration", func() {
	It("is not written again when a receiver ends", func(ctx SpecContext) {
		ports, seeds, dirs := threePlaneSettings()
		plane := startPlane(1, ports, seeds[:1], dirs[0], true)
		DeferCleanup(shutDown, plane)
		firstCall := apiCall{"first configuration", "POST", "/api/Config.Replace", "0", `{"version":1,"services":[{"name":"s"}],"routes":[]}`}
		Eventually(ctx, func() int { return statusOf(firstCall, seeds[0]) }).Should(Equal(200))
		path := filepath.Join(dirs[0], configurationFileName)
		Eventually(ctx, func() error { _, err := os.Stat(path); return err }).Should(Succeed())
		before, err := os.Stat(path)
		Expect(err).NotTo(HaveOccurred())
		Eventually(ctx, func() int { return statusOf(leaveCall, seeds[0]) }).Should(Equal(200))
		Expect(statusOf(readyCall, seeds[0])).To(Equal(200))
		Expect(statusOf(drainingCall, seeds[0])).To(Equal(200))
		entries, err := snapshot.File{FS: vfs.OS{}, Dir: dirs[0]}.Load()
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).NotTo(BeEmpty())
		Expect(entries).NotTo(ContainElement(HaveField("Key", cluster.ConfigurationKey)))
		after, err := os.Stat(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.SameFile(before, after)).To(BeTrue())
	}, SpecTimeout(time.Minute))
})

func statusOf(c apiCall, address string) int {
	GinkgoHelper()
	status, _, _ := c.send(address)
	return status
}

// Guards against a configuration that is acknowledged and then fills the disk, so that the replicas stop (review/6).
var _ = Describe("a configuration that is too large for the machine's disk", func() {
	It("is refused with the reason, and a smaller one is taken", func(ctx SpecContext) {
		ports, seeds, dirs := threePlaneSettings()
		plane := startPlaneOnDisk(1, ports, seeds[:1], dirs[0], true, 4)
		DeferCleanup(func() { shutDown(plane) })
		configurationOf := func(version, size int) string {
			body := fmt.Sprintf(`{"version":%d,"services":[{"name":"s"}],"routes":[]}`, version)
			return body + strings.Repeat(" ", size-len(body))
		}
		limit := plane.replica.MaxStateBytes()
		replace := func(base, size int) apiCall {
			return apiCall{"replace", "POST", "/api/Config.Replace", strconv.Itoa(base), configurationOf(base+1, size)}
		}
		Eventually(ctx, func() int { status, _, _ := replace(0, limit/2).send(seeds[0]); return status }).Should(Equal(200))
		status, body, _ := replace(1, limit+1).send(seeds[0])
		Expect(status).To(Equal(400))
		Expect(body).To(ContainSubstring("the disk has room for"))
		for base := 1; base < 8; base++ {
			status, body, _ := replace(base, limit*3/4).send(seeds[0])
			Expect(status).To(Equal(200), body)
		}
		modify := func(base, nameBytes int) apiCall {
			change := fmt.Sprintf(`{"version":%d,"upsert":{"services":[{"name":"%s"}]}}`, base+1, strings.Repeat("t", nameBytes))
			return apiCall{"modify", "POST", "/api/Config.Modify", strconv.Itoa(base), change}
		}
		status, body, _ = modify(8, limit*2/3).send(seeds[0])
		Expect(status).To(Equal(200), body)
		status, body, _ = modify(9, limit*2/3+1).send(seeds[0])
		Expect(status).To(Equal(400))
		Expect(body).To(ContainSubstring("the disk has room for"))
	}, NodeTimeout(time.Minute))
})
