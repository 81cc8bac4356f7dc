package gossip

import (
	"cmp"
	"slices"
	"time"
)

// freshNews is how long an entry that came is taken to be still on its way to the others by pushes: a
// comparison offers it instead of sending its large value once more.
const freshNews = time.Second

// answerCompare tells a peer that the tables are equal, or the sums of this one.
func (s *Disseminator) answerCompare(from string, d Digest) {
	if d.Root == s.table.root() {
		s.send(from, Message{Equal: true})
		return
	}
	s.send(from, Message{BucketSums: s.table.sums()})
}

// answerSums sends the versions of the buckets that differ. If none does, folded sums are equal by chance, or
// the tables have become equal since: then all are sent.
func (s *Disseminator) answerSums(from string, sums []uint32) {
	if len(sums) != bucketCount {
		return
	}
	differing := make([]int, 0, bucketCount)
	for i, sum := range sums {
		if sum != fold(s.table.buckets[i].sum) {
			differing = append(differing, i)
		}
	}
	if len(differing) == 0 {
		differing = everyBucket()
	}
	s.send(from, Message{Summary: s.summary(differing)})
}

func everyBucket() []int {
	all := make([]int, bucketCount)
	for i := range all {
		all[i] = i
	}
	return all
}

// summary lists whole buckets, as many as a message may hold. A random one comes first, so that where they
// are too many each gets its turn.
func (s *Disseminator) summary(buckets []int) *Summary {
	first := s.random.IntN(len(buckets))
	m := Summary{Whole: s.syncing}
	for i := range buckets {
		if len(m.Versions) > maxVersions {
			m.Partial = true
			break
		}
		index := buckets[(first+i)%len(buckets)]
		m.Buckets = append(m.Buckets, index)
		for key, r := range s.table.buckets[index].records {
			if r.inDigest() {
				m.Versions = append(m.Versions, Version{Key: key, Stamp: r.entry.Stamp})
			}
		}
	}
	slices.SortFunc(m.Versions, func(a, b Version) int { return cmp.Compare(a.Key, b.Key) })
	return &m
}

// answerSummary sends what the peer lacks in the buckets that it listed and asks for what this node lacks.
func (s *Disseminator) answerSummary(now time.Time, from string, summary Summary) {
	delta := Delta{Partial: summary.Partial}
	theirs := make(map[string]Stamp, len(summary.Versions))
	for _, v := range summary.Versions {
		theirs[v.Key] = v.Stamp
		if v.Stamp.After(s.table.stamp(v.Key)) {
			delta.Want = append(delta.Want, v.Key)
		}
	}
	size := 0
	for _, r := range s.lacking(summary, theirs) {
		switch {
		case size > maxPush:
			delta.Partial = true
		case !summary.Whole && onItsWay(now, r):
			delta.Offer = append(delta.Offer, r.version())
		default:
			delta.Entries = append(delta.Entries, r.entry)
			size += len(r.entry.Value) + len(r.entry.Key)
		}
	}
	s.send(from, Message{Delta: &delta})
}

// lacking gives the records that a peer with that summary lacks, in the order of their keys. A dropped entry
// whose stamp is defended is among them where the peer shows an older one.
func (s *Disseminator) lacking(summary Summary, theirs map[string]Stamp) []*record {
	var found []*record
	for key, stamp := range theirs {
		if r := s.table.find(key); r != nil && !r.kind.Ephemeral && r.entry.Stamp.After(stamp) {
			found = append(found, r)
		}
	}
	for _, index := range summary.Buckets {
		if index < 0 || index >= bucketCount {
			continue
		}
		for key, r := range s.table.buckets[index].records {
			if _, has := theirs[key]; !has && r.inDigest() {
				found = append(found, r)
			}
		}
	}
	slices.SortFunc(found, func(a, b *record) int { return cmp.Compare(a.entry.Key, b.entry.Key) })
	return found
}

// takeDelta takes what this node lacked and sends what the peer lacks.
func (s *Disseminator) takeDelta(now time.Time, from string, delta Delta) {
	news := 0
	for _, e := range delta.Entries {
		if s.take(now, from, e, true) {
			news++
		}
	}
	if len(delta.Offer) > 0 {
		s.offered(now, from, delta.Offer, true)
	}
	s.answerDelta(now, from, delta.Want)
	switch {
	case delta.Partial && news > 0:
		s.Compare(from) // not without news: what is refused here would be sent again and again
	case !delta.Partial && len(delta.Offer) == 0:
		s.effects.Compared = append(s.effects.Compared, from)
	}
}

// answerDelta sends what a peer lacks after a comparison.
func (s *Disseminator) answerDelta(now time.Time, from string, want []string) {
	var offer []Version
	var push []string
	for _, key := range want {
		if r := s.table.find(key); r != nil && onItsWay(now, r) {
			offer = append(offer, r.version())
		} else {
			push = append(push, key)
		}
	}
	s.send(from, Message{Push: s.entries(push)})
	if len(offer) > 0 {
		s.send(from, Message{Delta: &Delta{Offer: offer}})
	}
}

// onItsWay tells whether a record is large and so new that pushes are likely to bring it to all.
func onItsWay(now time.Time, r *record) bool {
	return len(r.entry.Value) > largeValue && now.Sub(r.came) < freshNews
}
