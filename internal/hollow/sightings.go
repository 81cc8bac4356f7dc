package hollow

import (
	"strconv"
	"sync"
	"time"

	"emberquay/internal/cluster"
	"emberquay/internal/cluster/records"
)

// maxSightings bounds what waits to be fetched; more are lost, and their changes counted as unknown.
const maxSightings = 1 << 20

// sightings notes when the proxies of a worker know of changes.
type sightings struct {
	mutex sync.Mutex
	list  []Sighting // guarded by mutex
}

func configurationSeen(version uint64) string {
	return "configuration " + strconv.FormatUint(version, 10)
}

func drainSeen(id string) string { return "drain " + id }

// watch notes what a plane's cluster tells, after the plane itself was told.
func (s *sightings) watch(node string, c *cluster.Cluster) {
	c.Watch(cluster.ConfigurationKey, func(e cluster.Entry) { s.add(node, configurationSeen(e.Stamp.Epoch)) })
	c.Watch(cluster.ReceiverPrefix, func(e cluster.Entry) {
		record, err := records.Receivers.Decode(e.Value)
		if err == nil && record.State == records.ReceiverDraining {
			s.add(node, drainSeen(record.ID))
		}
	})
}

func (s *sightings) add(node, what string) {
	now := time.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.list) < maxSightings {
		s.list = append(s.list, Sighting{Node: node, What: what, At: now})
	}
}

func (s *sightings) take() []Sighting {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := s.list
	s.list = nil
	return taken
}

// knowledgeOf reads what a node knows.
func knowledgeOf(c *cluster.Cluster) Status {
	var known Status
	if e, some := c.Get(cluster.ConfigurationKey); some {
		known.Configuration = e.Stamp.Epoch
	}
	known.Receivers = len(c.List(cluster.ReceiverPrefix))
	for _, n := range c.Nodes() {
		if n.Live() {
			known.LiveNodes++
		}
	}
	return known
}
