package controlstate_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"emberquay/internal/tier/controlstate"
)

// largeBody returns a configuration of some routes, of which the last one depends on the version.
func largeBody(version uint64, routes int) []byte {
	items := make([]string, 0, routes)
	for i := range routes - 1 {
		items = append(items, fmt.Sprintf(`{"name":"r%d","authority":"a","path_prefix":"/%d/","timeout_ms":100,"service":"s"}`, i, i))
	}
	items = append(items, fmt.Sprintf(`{"name":"last","authority":"a","path_prefix":"/last/%d/","timeout_ms":100,"service":"s"}`, version))
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"s"}]}`, version, strings.Join(items, ","))
}

func modifyLast(version uint64) controlstate.Command {
	body := fmt.Sprintf(`{"version":%d,"upsert":{"routes":[{"name":"last","authority":"a","path_prefix":"/last/%d/","timeout_ms":100,"service":"s"}]}}`, version, version)
	return controlstate.Command{Kind: controlstate.ModifyConfiguration, Base: version - 1, HasBase: true, Body: []byte(body)}
}

// Guards against changes that come into force late, and starts that take seconds, because each change of one route reads
// all routes again: at each member of the chain, for each entry that a start replays, and for each read.
var _ = Describe("The work of a change of one route among many", func() {
	const routes, changes = 2000, 10

	It("does not grow with the number of the others", func() {
		first := controlstate.EncodeCommand(controlstate.Command{Kind: controlstate.ReplaceConfiguration, HasBase: true, Body: largeBody(1, routes)})
		var commands [][]byte
		for version := uint64(2); version <= changes; version++ {
			commands = append(commands, controlstate.EncodeCommand(modifyLast(version)))
		}
		var state *controlstate.State
		begin := testing.AllocsPerRun(1, func() {
			state = controlstate.New()
			state.Apply(first)
		})
		all := testing.AllocsPerRun(1, func() {
			state = controlstate.New()
			state.Apply(first)
			for _, command := range commands {
				state.Apply(command)
			}
		})
		version, body := state.Configuration()
		Expect(version).To(BeEquivalentTo(changes))
		Expect(body).To(Equal(largeBody(changes, routes)))
		Expect(all-begin).To(BeNumerically("<", begin), "allocations of %d changes, against those of the first configuration", changes-1)
	})

	It("is not spent again to read the state or to take it over from another replica", func() {
		state := controlstate.New()
		state.Apply(controlstate.EncodeCommand(controlstate.Command{Kind: controlstate.ReplaceConfiguration, HasBase: true, Body: largeBody(1, routes)}))
		before := state.Snapshot()
		state.Apply(controlstate.EncodeCommand(modifyLast(2)))
		snapshot := state.Snapshot()
		Expect(testing.AllocsPerRun(1, func() { _, _ = controlstate.Read(snapshot) })).To(BeNumerically("<", routes/10))
		other := controlstate.New()
		Expect(other.Restore(before)).To(Succeed())
		Expect(testing.AllocsPerRun(1, func() { _ = other.Restore(snapshot) })).To(BeNumerically("<", routes))
		Expect(other.Snapshot()).To(Equal(snapshot))
	})
})

var _ = Describe("Read", func() {
	It("gives the state that Snapshot encoded", func() {
		state := controlstate.New()
		state.Apply(controlstate.EncodeCommand(controlstate.Command{Kind: controlstate.ReplaceConfiguration, HasBase: true, Body: largeBody(1, 3)}))
		state.Apply(controlstate.EncodeCommand(controlstate.Command{Kind: controlstate.RegisterStore, Tolerance: 1,
			Store: controlstate.StoreMember{ID: "i", Node: "store-1", Zone: "a", Address: "10.0.0.1:7382"}}))
		read, err := controlstate.Read(state.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		Expect(read.Snapshot()).To(Equal(state.Snapshot()))
	})

	It("refuses a snapshot that is not whole", func() {
		snapshot := controlstate.New().Snapshot()
		_, err := controlstate.Read(snapshot[:len(snapshot)-1])
		Expect(err).To(HaveOccurred())
	})
})
