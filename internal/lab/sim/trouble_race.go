package sim

import "time"

const (
	// Races of one trouble, one after the other; each redraws the lengths of the links, which differ by more
	// than a sync takes.
	leastRaces = 3
	mostRaces  = 6
	raceEvery  = 200 * time.Millisecond
	raceLag    = 15 * time.Millisecond
	// A slow machine's messages take so much longer, both ways.
	leastHostLag = 5 * time.Millisecond
	mostHostLag  = 60 * time.Millisecond
)

// races has turns of one program race at three proxies whose links to each store are of very different
// lengths, in an order that is drawn for each store; several times.
func (t *trouble) races() {
	w := t.world
	all := w.up(proxyRole)
	if len(all) < 3 {
		return
	}
	w.random.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	racers := all[:3]
	count := leastRaces + w.random.IntN(mostRaces-leastRaces+1)
	w.begins(Races, "%d races at %s, %s and %s", count, racers[0].name, racers[1].name, racers[2].name)
	for at := range count {
		w.after(time.Duration(at)*raceEvery, func() { t.race(racers) })
	}
	w.after(time.Duration(count)*raceEvery, w.ends)
}

// race runs one race, and makes the links alike again before the next.
func (t *trouble) race(racers []*host) {
	w := t.world
	for _, store := range w.of(storeRole) {
		for at, place := range w.random.Perm(len(racers)) {
			w.network.lagFor(link{racers[at].address, store.address}, time.Duration(place)*raceLag, raceEvery)
		}
	}
	w.runRace(racers)
}

// slowHost has all that a machine hears and says take longer, as one does whose processors are busy.
func (t *trouble) slowHost() {
	w := t.world
	h := pick(w, w.hosts)
	lag, d := w.between(leastHostLag, mostHostLag), w.between(time.Second, 5*time.Second)
	w.begins(SlowHosts, "%s is slower by %s for %s", h.name, lag, d)
	for _, other := range w.hosts {
		w.network.lagFor(link{h.address, other.address}, lag, d)
		w.network.lagFor(link{other.address, h.address}, lag, d)
	}
	w.network.lagFor(link{outside, h.address}, lag, d)
	w.network.lagFor(link{h.address, outside}, lag, d)
	w.after(d, w.ends)
}
