package gossip

import (
	"cmp"
	"slices"
	"time"
)

// pushInFlightTime is the time after an entry's arrival during which pushes are assumed to be still spreading it.
// Until then a comparison offers a large value instead of sending it a second time.
const pushInFlightTime = time.Second

// handleCompare answers that the tables are equal, or sends the bucket sums of this node's table.
func (d *Disseminator) handleCompare(from string, digest Digest) {
	if digest.Root == d.table.root() {
		d.send(from, Message{Equal: true})
		return
	}
	d.send(from, Message{BucketSums: d.table.foldedSums()})
}

// handleBucketSums sends the versions in the buckets that differ. If none differs, either folded sums collide or the
// tables have become equal in the meantime; it then sends the versions in all buckets.
func (d *Disseminator) handleBucketSums(from string, sums []uint32) {
	if len(sums) != bucketCount {
		return
	}
	differing := make([]int, 0, bucketCount)
	for i, sum := range sums {
		if sum != fold32(d.table.buckets[i].sum) {
			differing = append(differing, i)
		}
	}
	if len(differing) == 0 {
		differing = allBuckets()
	}
	d.send(from, Message{Summary: d.buildSummary(differing)})
}

func allBuckets() []int {
	all := make([]int, bucketCount)
	for i := range all {
		all[i] = i
	}
	return all
}

// buildSummary lists the versions in as many whole buckets as fit into a message. It starts at a random bucket, so
// that repeated comparisons cover all buckets even if they don't fit into one message.
func (d *Disseminator) buildSummary(buckets []int) *Summary {
	first := d.random.IntN(len(buckets))
	m := Summary{Whole: d.syncing}
	for i := range buckets {
		if len(m.Versions) > maxMessageVersions {
			m.Partial = true
			break
		}
		index := buckets[(first+i)%len(buckets)]
		m.Buckets = append(m.Buckets, index)
		for key, r := range d.table.buckets[index].records {
			if r.inDigest() {
				m.Versions = append(m.Versions, Version{Key: key, Stamp: r.entry.Stamp})
			}
		}
	}
	slices.SortFunc(m.Versions, func(a, b Version) int { return cmp.Compare(a.Key, b.Key) })
	return &m
}

// handleSummary sends the entries that the peer lacks in the listed buckets and requests those that this node lacks.
func (d *Disseminator) handleSummary(now time.Time, from string, summary Summary) {
	delta := Delta{Partial: summary.Partial}
	peerStamps := make(map[string]Stamp, len(summary.Versions))
	for _, v := range summary.Versions {
		peerStamps[v.Key] = v.Stamp
		if v.Stamp.After(d.table.stamp(v.Key)) {
			delta.Want = append(delta.Want, v.Key)
		}
	}
	size := 0
	for _, r := range d.recordsMissingAtPeer(summary, peerStamps) {
		switch {
		case size > maxMessageBytes:
			delta.Partial = true
		case !summary.Whole && likelyInFlight(now, r):
			delta.Offer = append(delta.Offer, r.version())
		default:
			delta.Entries = append(delta.Entries, r.entry)
			size += len(r.entry.Value) + len(r.entry.Key)
		}
	}
	d.send(from, Message{Delta: &delta})
}

// recordsMissingAtPeer returns the records that the sender of a summary lacks, sorted by key. They include a tombstone
// if the peer lists an older version of its key.
func (d *Disseminator) recordsMissingAtPeer(summary Summary, peerStamps map[string]Stamp) []*record {
	var found []*record
	for key, stamp := range peerStamps {
		if r := d.table.find(key); r != nil && !r.kind.Ephemeral && r.entry.Stamp.After(stamp) {
			found = append(found, r)
		}
	}
	for _, index := range summary.Buckets {
		if index < 0 || index >= bucketCount {
			continue
		}
		for key, r := range d.table.buckets[index].records {
			if _, isListed := peerStamps[key]; !isListed && r.inDigest() {
				found = append(found, r)
			}
		}
	}
	slices.SortFunc(found, func(a, b *record) int { return cmp.Compare(a.entry.Key, b.entry.Key) })
	return found
}

// handleDelta applies the entries that this node lacked and sends those that the peer lacks.
func (d *Disseminator) handleDelta(now time.Time, from string, delta Delta) {
	newEntries := 0
	for _, e := range delta.Entries {
		if d.receiveEntry(now, from, e, true) {
			newEntries++
		}
	}
	if len(delta.Offer) > 0 {
		d.receiveOffers(now, from, delta.Offer, true)
	}
	d.sendWanted(now, from, delta.Want)
	switch {
	case delta.Partial && newEntries > 0:
		d.Compare(from) // only after progress: entries rejected here would be sent again and again
	case !delta.Partial && len(delta.Offer) == 0:
		d.effects.Compared = append(d.effects.Compared, from)
	}
}

// sendWanted sends the entries that a peer requested at the end of a comparison, or offers them.
func (d *Disseminator) sendWanted(now time.Time, from string, want []string) {
	var offer []Version
	var push []string
	for _, key := range want {
		if r := d.table.find(key); r != nil && likelyInFlight(now, r) {
			offer = append(offer, r.version())
		} else {
			push = append(push, key)
		}
	}
	d.send(from, Message{Push: d.entriesFor(push)})
	if len(offer) > 0 {
		d.send(from, Message{Delta: &Delta{Offer: offer}})
	}
}

// likelyInFlight reports whether a record is large and so new that pushes are likely to bring it to all peers.
func likelyInFlight(now time.Time, r *record) bool {
	return len(r.entry.Value) > maxPushedValueBytes && now.Sub(r.receivedAt) < pushInFlightTime
}
