package dataplane

import (
	"sync"
	"time"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/routing"
)

// receiverList holds the record of each receiver that is not gone. It is written by the goroutine of the cluster's
// watchers.
type receiverList struct {
	mutex sync.Mutex
	byID  map[string]records.ReceiverRecord // guarded by mutex
}

func newReceiverList() *receiverList {
	return &receiverList{byID: map[string]records.ReceiverRecord{}}
}

// apply stores a receiver's record, or removes it if the receiver is gone.
func (l *receiverList) apply(record records.ReceiverRecord) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if record.State == records.ReceiverGone {
		delete(l.byID, record.ID)
		return
	}
	l.byID[record.ID] = record
}

// all returns the receivers that are not gone.
func (l *receiverList) all() []records.ReceiverRecord {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	list := make([]records.ReceiverRecord, 0, len(l.byID))
	for _, r := range l.byID {
		list = append(list, r)
	}
	return list
}

// dispatchReceivers returns the receivers as the dispatcher's type, with the limits and the engine that the configuration
// sets for their services; these stay empty for a service that is not in the configuration.
func (l *receiverList) dispatchReceivers(snapshot *routing.Snapshot) []dispatch.Receiver {
	all := l.all()
	list := make([]dispatch.Receiver, 0, len(all))
	for _, r := range all {
		list = append(list, toDispatchReceiver(r, snapshot))
	}
	return list
}

func toDispatchReceiver(r records.ReceiverRecord, snapshot *routing.Snapshot) dispatch.Receiver {
	receiver := dispatch.Receiver{
		ID: dispatch.InstanceID(r.ID), Service: r.Service, Address: r.Address, Zone: r.Zone, Slots: r.Slots,
		Draining: r.State == records.ReceiverDraining, Silent: r.State == records.ReceiverSilent,
		ColdRemaining: time.Duration(r.ColdRemainingMillis) * time.Millisecond,
	}
	if snapshot == nil {
		return receiver
	}
	service := snapshot.Services[r.Service]
	if service == nil {
		return receiver
	}
	receiver.MaxConnections = service.MaxConnections
	if service.Engine != nil {
		receiver.Engine = &dispatch.EngineInfo{KVCapacityTokens: service.Engine.KVCapacityTokens, ChunkTokens: service.Engine.ChunkTokens}
	}
	return receiver
}
