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
	// maxHeartbeatBytes is the maximum size of a heartbeat, above the limit of the protocol.
	maxHeartbeatBytes = 64 << 10
	// confirmTimeout bounds the wait for other nodes to confirm that a receiver drains or leaves. The receiver goes on to
	// another node after a second without an acknowledgement.
	confirmTimeout = 600 * time.Millisecond
	// silenceCheckInterval is the time between two checks for silent receivers.
	silenceCheckInterval = 500 * time.Millisecond
)

// heartbeatBody is the JSON body of a heartbeat request.
type heartbeatBody struct {
	Service         string           `json:"service"`
	Address         string           `json:"address"`
	Zone            string           `json:"zone"`
	Version         string           `json:"version"`
	Slots           int              `json:"slots"`
	State           string           `json:"state"`
	ColdRemainingMS float64          `json:"cold_remaining_ms"`
	Stage           string           `json:"stage"`
	Models          []heartbeatModel `json:"models"`
	Sequence        uint64           `json:"sequence"`
}

type heartbeatModel struct {
	Name string `json:"name"`
}

const stateDraining = "draining"

// heartbeatAnswer names the address for the next heartbeats. While a receiver stays with one node, only its changes are
// published.
type heartbeatAnswer struct {
	Target string `json:"heartbeat_target,omitempty"`
}

// errUnconfirmed says that the end of a receiver may be lost with this node and a minority of the others.
var errUnconfirmed = errors.New("no majority of the control nodes has confirmed the news")

func (p *Plane) registerReceiverHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /api/Instances.Heartbeat/{id}", p.handleHeartbeat)
	mux.HandleFunc("POST /api/Instances.Leave/{id}", p.handleLeave)
}

func (p *Plane) handleHeartbeat(w http.ResponseWriter, r *http.Request) {
	var body heartbeatBody
	if err := json.NewDecoder(io.LimitReader(r.Body, maxHeartbeatBytes)).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "the heartbeat is not JSON: "+err.Error())
		return
	}
	id := r.PathValue("id")
	change := p.updateReceivers(func(now time.Duration, table *registration.Table) registration.Change {
		return table.Heartbeat(now, id, body.toHeartbeat(), p.receiverRecord(id))
	})
	p.publishAndAnswer(w, r, change, heartbeatAnswer{Target: p.heartbeatTarget()})
}

func (b heartbeatBody) toHeartbeat() registration.Heartbeat {
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

func (p *Plane) handleLeave(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	change := p.updateReceivers(func(_ time.Duration, table *registration.Table) registration.Change {
		return table.Leave(id, p.receiverRecord(id))
	})
	p.publishAndAnswer(w, r, change, struct{}{})
}

// publishAndAnswer publishes a change and acknowledges it. The end of a receiver is acknowledged only once a majority of the
// control nodes know it. From then on no request may reach the receiver for longer than the drain bound, whether or not this
// node fails, as a proxy compares its entries with those of a majority before it serves.
func (p *Plane) publishAndAnswer(w http.ResponseWriter, r *http.Request, change registration.Change, body any) {
	if err := p.publishChange(r.Context(), change); err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, body)
}

func (p *Plane) publishChange(ctx context.Context, change registration.Change) error {
	if !change.Publish && !change.NeedsConfirmation {
		return nil
	}
	entry, err := p.changeEntry(change)
	if err != nil {
		return err
	}
	if !change.NeedsConfirmation {
		p.base.Cluster.Publish(entry)
		return nil
	}
	return p.confirmByMajority(ctx, change.Record, entry)
}

// changeEntry returns the entry to publish for a change: a new one, or the one that the cluster already has.
func (p *Plane) changeEntry(change registration.Change) (cluster.Entry, error) {
	key := cluster.ReceiverPrefix + change.Record.ID
	if !change.Publish {
		known, ok := p.base.Cluster.Get(key)
		if !ok {
			return cluster.Entry{}, errUnconfirmed
		}
		return known, nil
	}
	value, err := records.ReceiverCodec.Encode(change.Record)
	return cluster.Entry{Key: key, Value: value, Stamp: change.Stamp}, err
}

// confirmByMajority publishes the end of a receiver and returns nil if a majority of the voters have it, on disk if they
// have one: all machines may lose power at the next moment, and the receiver may not report its end again.
func (p *Plane) confirmByMajority(ctx context.Context, record records.ReceiverRecord, entry cluster.Entry) error {
	confirmed := p.publishToOthers(ctx, entry)
	var holders []string
	if p.waitSavedLocally(ctx, entry.Key) == nil {
		holders = append(holders, p.base.Address)
	}
	for _, n := range confirmed {
		if n.Role == cluster.Control {
			holders = append(holders, n.Address)
		}
	}
	if !registration.HasMajority(p.voterAddresses(), holders) {
		return errUnconfirmed
	}
	p.updateReceivers(func(_ time.Duration, table *registration.Table) registration.Change {
		table.MarkConfirmed(record)
		return registration.Change{}
	})
	return nil
}

// publishToOthers publishes an entry and returns the other nodes that confirmed it in time.
func (p *Plane) publishToOthers(ctx context.Context, entry cluster.Entry) []cluster.Node {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	confirmed, _ := p.base.Cluster.PublishConfirmed(ctx, entry, cluster.Control, cluster.Proxy)
	return confirmed
}

// voterAddresses returns the addresses of the voting control nodes that this node knows.
func (p *Plane) voterAddresses() []string {
	var addresses []string
	for _, m := range p.replica.Members() {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// receiverRecord returns the cluster's record of a receiver, or nil if there is none.
func (p *Plane) receiverRecord(id string) *records.ReceiverRecord {
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

// receiverRecords returns the cluster's records of all receivers.
func (p *Plane) receiverRecords() []records.ReceiverRecord {
	entries := p.base.Cluster.List(cluster.ReceiverPrefix)
	list := make([]records.ReceiverRecord, 0, len(entries))
	for _, e := range entries {
		if r, err := records.ReceiverCodec.Decode(e.Value); err == nil {
			list = append(list, r)
		}
	}
	return list
}

// runReceivers owns the table of receivers: it executes the queued commands and checks for silent receivers until the plane
// stops.
func (p *Plane) runReceivers(ctx context.Context) {
	table := registration.New(p.base.Settings.Name, p.base.Settings.HeartbeatInterval)
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case command := <-p.receiverQueue:
			command(table)
		case <-ticker.C:
			p.checkSilentReceivers(ctx, table)
		}
	}
}

func (p *Plane) checkSilentReceivers(ctx context.Context, table *registration.Table) {
	aliveOwners := map[string]bool{}
	for _, n := range p.base.Cluster.Nodes() {
		if n.Role == cluster.Control && (n.State == cluster.Alive || n.State == cluster.Suspect) {
			aliveOwners[n.Name] = true
		}
	}
	changes := table.Tick(p.now(), p.receiverRecords(), func(owner string) bool { return aliveOwners[owner] })
	for _, change := range changes {
		p.base.Log.WithField("receiver", change.Record.ID).WithField("state", change.Record.State.String()).Info("receiver silent")
		_ = p.publishChange(ctx, change)
	}
}

// updateReceivers runs an update of the receiver table on the goroutine that owns it. During shutdown it changes nothing.
func (p *Plane) updateReceivers(update func(time.Duration, *registration.Table) registration.Change) registration.Change {
	result := make(chan registration.Change, 1)
	command := func(table *registration.Table) { result <- update(p.now(), table) }
	select {
	case p.receiverQueue <- command:
	case <-p.closed:
		return registration.Change{}
	}
	select {
	case change := <-result:
		return change
	case <-p.closed:
		return registration.Change{}
	}
}
