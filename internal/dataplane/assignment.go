package dataplane

import (
	"github.com/cespare/xxhash/v2"

	"emberquay/admission/dispatch"
	"emberquay/internal/cluster"
	"emberquay/internal/cluster/records"
)

// assignment says which receivers' reports this proxy asks for. A report is priced, and all proxies want the
// same ones: each is asked for by one proxy, which spreads it.
type assignment struct {
	own map[dispatch.InstanceID]bool
}

// liveProxies gives the proxies that are not known to be down or gone.
func liveProxies(nodes []cluster.Node) []cluster.Node {
	var live []cluster.Node
	for _, n := range nodes {
		if n.Role == cluster.Proxy && (n.State == cluster.Alive || n.State == cluster.Suspect) {
			live = append(live, n)
		}
	}
	return live
}

// assign shares the receivers out: each to the proxy with the highest hash of both names (rendezvous), among
// those of its own zone where there are any. All proxies that know the same nodes come to the same.
func assign(self string, live []cluster.Node, receivers []records.ReceiverRecord) *assignment {
	a := &assignment{own: map[dispatch.InstanceID]bool{}}
	for _, r := range receivers {
		if choose(r, live) == self {
			a.own[dispatch.InstanceID(r.ID)] = true
		}
	}
	return a
}

func choose(r records.ReceiverRecord, live []cluster.Node) string {
	near := make([]cluster.Node, 0, len(live))
	for _, n := range live {
		if n.Zone == r.Zone {
			near = append(near, n)
		}
	}
	if len(near) == 0 {
		near = live
	}
	chosen, highest := "", uint64(0)
	for _, n := range near {
		if hash := xxhash.Sum64String(r.ID + "/" + n.Name); chosen == "" || hash > highest {
			chosen, highest = n.Name, hash
		}
	}
	return chosen
}
