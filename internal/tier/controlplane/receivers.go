package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/registration"
)

const (
	// maxHeartbeatBytes bounds a heartbeat: the protocol's own bound, with room.
	maxHeartbeatBytes = 64 << 10
	// confirmTimeout bounds the wait for others to confirm that a receiver ends. Its receiver goes on to
	// another node after a second without an acknowledgement.
	confirmTimeout = 600 * time.Millisecond
	// watchInterval is the time between two looks for silent receivers.
	watchInterval = 500 * time.Millisecond
)

// heartbeatBody is a heartbeat on the wire.
type heartbeatBody struct {
	Service         string         `json:"service"`
	Address         string         `json:"address"`
	Zone            string         `json:"zone"`
	Version         string         `json:"version"`
	Slots           int            `json:"slots"`
	State           string         `json:"state"`
	ColdRemainingMS float64        `json:"cold_remaining_ms"`
	Stage           string         `json:"stage"`
	Models          []modelOfABeat `json:"models"`
	Sequence        uint64         `json:"sequence"`
}

type modelOfABeat struct {
	Name string `json:"name"`
}

const stateDraining = "draining"

// heartbeatAnswer names the address of the next heartbeats: while they stay here only changes are spread.
type heartbeatAnswer struct {
	Target string `json:"heartbeat_target,omitempty"`
}

// errUnconfirmed: the news that a receiver ends may be lost with this node and few others.
var errUnconfirmed = errors.New("no majority of the control nodes has confirmed the news")

func (p *Plane) registerReceivers(mux *http.ServeMux) {
	mux.HandleFunc("POST /api/Instances.Heartbeat/{id}", p.heartbeat)
	mux.HandleFunc("POST /api/Instances.Leave/{id}", p.leave)
}

func (p *Plane) heartbeat(w http.ResponseWriter, r *http.Request) {
	var body heartbeatBody
	if err := json.NewDecoder(io.LimitReader(r.Body, maxHeartbeatBytes)).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest, "the heartbeat is not JSON: "+err.Error())
		return
	}
	id := r.PathValue("id")
	change := p.withReceivers(func(now time.Duration, table *registration.Table) registration.Change {
		return table.Heartbeat(now, id, body.typed(), p.receiver(id))
	})
	p.spreadAndAnswer(w, r, change, heartbeatAnswer{Target: p.heartbeatTarget()})
}

func (b heartbeatBody) typed() registration.Heartbeat {
	models := make([]string, 0, len(b.Models))
	for _, m := range b.Models {
		models = append(models, m.Name)
	}
	return registration.Heartbeat{
		Service: b.Service, Address: b.Address, Zone: b.Zone, Version: b.Version, Slots: b.Slots,
		Draining: b.State == stateDraining, ColdRemaining: time.Duration(b.ColdRemainingMS * float64(time.Millisecond)),
		Stage: b.Stage, Models: models, Sequence: b.Sequence,
	}
}

func (p *Plane) leave(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	change := p.withReceivers(func(_ time.Duration, table *registration.Table) registration.Change {
		return table.Leave(id, p.receiver(id))
	})
	p.spreadAndAnswer(w, r, change, struct{}{})
}

// spreadAndAnswer spreads a change and acknowledges it. That a receiver ends is acknowledged only once a majority of
// the control nodes know it: from then on no request may reach it for longer than the drain bound, whatever becomes of
// this node, and a proxy compares what it knows with a majority before it serves.
func (p *Plane) spreadAndAnswer(w http.ResponseWriter, r *http.Request, change registration.Change, body any) {
	if err := p.spread(r.Context(), change); err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	answer(w, body)
}

func (p *Plane) spread(ctx context.Context, change registration.Change) error {
	if !change.News && !change.Ends {
		return nil
	}
	entry, err := p.entryOf(change)
	if err != nil {
		return err
	}
	if !change.Ends {
		p.base.Cluster.Publish(entry)
		return nil
	}
	return p.confirm(ctx, change.Record, entry)
}

// entryOf is what is to be spread of a change: news, or what the cluster has already.
func (p *Plane) entryOf(change registration.Change) (cluster.Entry, error) {
	key := cluster.ReceiverPrefix + change.Record.ID
	if !change.News {
		known, ok := p.base.Cluster.Get(key)
		if !ok {
			return cluster.Entry{}, errUnconfirmed
		}
		return known, nil
	}
	value, err := records.ReceiverCodec.Encode(change.Record)
	return cluster.Entry{Key: key, Value: value, Stamp: change.Stamp}, err
}

// confirm brings the news that a receiver ends to the others, and says whether a majority of the voters have it, on disk
// where they have one: all machines may lose power at the next moment, and the receiver may not say it again.
func (p *Plane) confirm(ctx context.Context, record records.ReceiverRecord, entry cluster.Entry) error {
	confirmed := p.tellOthers(ctx, entry)
	var holders []string
	if p.keptHere(ctx, entry.Key) == nil {
		holders = append(holders, p.base.Address)
	}
	for _, n := range confirmed {
		if n.Role == cluster.Control {
			holders = append(holders, n.Address)
		}
	}
	if !registration.Majority(p.voters(), holders) {
		return errUnconfirmed
	}
	p.withReceivers(func(_ time.Duration, table *registration.Table) registration.Change {
		table.Confirmed(record)
		return registration.Change{}
	})
	return nil
}

// tellOthers brings an entry to the others and gives those that have confirmed it in time.
func (p *Plane) tellOthers(ctx context.Context, entry cluster.Entry) []cluster.Node {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmed, _ := p.base.Cluster.PublishConfirmed(ctx, entry, cluster.Control, cluster.Proxy)
	return confirmed
}

// voters are the addresses of the control nodes that vote, as this one knows them.
func (p *Plane) voters() []string {
	var addresses []string
	for _, m := range p.replica.Members() {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// receiver gives what the cluster knows of a receiver.
func (p *Plane) receiver(id string) *records.ReceiverRecord {
	entry, known := p.base.Cluster.Get(cluster.ReceiverPrefix + id)
	if !known {
		return nil
	}
	record, err := records.ReceiverCodec.Decode(entry.Value)
	if err != nil {
		return nil
	}
	return &record
}

// receivers gives all known receivers.
func (p *Plane) receivers() []records.ReceiverRecord {
	entries := p.base.Cluster.List(cluster.ReceiverPrefix)
	list := make([]records.ReceiverRecord, 0, len(entries))
	for _, e := range entries {
		if r, err := records.ReceiverCodec.Decode(e.Value); err == nil {
			list = append(list, r)
		}
	}
	return list
}

// ownReceivers owns the table of receivers: it works through the commands that come, and looks for silent
// receivers, until the plane ends.
func (p *Plane) ownReceivers(ctx context.Context) {
	table := registration.New(p.base.Settings.Name, p.base.Settings.HeartbeatInterval)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-p.receiverCommands:
			command(table)
		case <-ticker.C:
			p.tickReceivers(ctx, table)
		}
	}
}

func (p *Plane) tickReceivers(ctx context.Context, table *registration.Table) {
	living := map[string]bool{}
	for _, n := range p.base.Cluster.Nodes() {
		if n.Role == cluster.Control && (n.State == cluster.Alive || n.State == cluster.Suspect) {
			living[n.Name] = true
		}
	}
	changes := table.Tick(p.now(), p.receivers(), func(owner string) bool { return living[owner] })
	for _, change := range changes {
		p.base.Log.WithField("receiver", change.Record.ID).WithField("state", change.Record.State.String()).Info("receiver silent")
		_ = p.spread(ctx, change)
	}
}

// withReceivers runs a step on the table of receivers, on its owner. A plane that ends changes nothing.
func (p *Plane) withReceivers(step func(time.Duration, *registration.Table) registration.Change) registration.Change {
	result := make(chan registration.Change, 1)
	command := func(table *registration.Table) { result <- step(p.now(), table) }
	select {
	case p.receiverCommands <- command:
	case <-p.done:
		return registration.Change{}
	}
	select {
	case change := <-result:
		return change
	case <-p.done:
		return registration.Change{}
	}
}
