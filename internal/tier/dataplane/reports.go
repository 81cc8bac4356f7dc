package dataplane

import (
	"context"
	"math/rand/v2"
	"time"

	"emberquay/admission/dispatch"
	"emberquay/internal/tier/cluster"
	"emberquay/internal/tier/cluster/records"
	"emberquay/internal/tier/transport"
)

const (
	reportMethod transport.Method = "proxy.report"
	// fleetFanoutLimit is up to how many other proxies a report is sent to each of them. Where there are more, it goes to
	// those of the asker's zone, whose programs have their homes there. Proxies elsewhere take a receiver without a
	// report for one of mean load. Every message costs a small proxy some of its processor, and so this bound is one
	// on what reports cost a fleet without many proxies in any zone.
	fleetFanoutLimit = 40
	// zoneFanoutLimit bounds the proxies of a zone that one report is sent to. Where there are more, each report goes to a
	// part of them, drawn anew: each proxy gets fewer reports then, none gets none.
	zoneFanoutLimit = 96
	// reportSendTimeout bounds the sending of a report: an older one is of no use.
	reportSendTimeout = 300 * time.Millisecond
	// maxReportSends bounds the sends under way, two reports' worth; those beyond are dropped, as the next report comes soon.
	maxReportSends = 2 * zoneFanoutLimit
)

var reportCodec = transport.MustCodec[records.ReportRecord](records.ReportSchema)

// reportPublisher sends the reports that this proxy has asked for to the others.
type reportPublisher struct {
	client    *transport.Client
	cluster   *cluster.Cluster
	sendSlots chan struct{}
	closed    context.Context
}

func newReportPublisher(client *transport.Client, c *cluster.Cluster, closed context.Context) *reportPublisher {
	return &reportPublisher{client: client, cluster: c, sendSlots: make(chan struct{}, maxReportSends), closed: closed}
}

// publish sends a report to other live proxies. It does not wait for them.
func (s *reportPublisher) publish(id dispatch.InstanceID, report dispatch.Report) {
	record := records.ReportRecord{
		Instance: string(id), Running: report.Running, Queued: report.Queued, KVUsed: int64(report.KVUsedTokens),
		KVTotal: int64(report.KVTotalTokens), AgeMillis: report.Age.Milliseconds(), Sequence: int64(report.Sequence),
	}
	for _, address := range reportAddresses(s.cluster.Nodes(), s.cluster.Self(), rand.Uint64()) {
		s.send(address, record)
	}
}

// reportAddresses gives the proxies that a report is sent to: all others where they are few, else those of the own
// zone, zoneReports of them at most. The draw says with which of them the list begins: any number will do.
func reportAddresses(nodes []cluster.Node, self cluster.Node, offset uint64) []string {
	var others, sameZone []string
	for _, n := range nodes {
		if n.Role != cluster.Proxy || !n.Live() || n.Address == self.Address {
			continue
		}
		others = append(others, n.Address)
		if n.Zone == self.Zone {
			sameZone = append(sameZone, n.Address)
		}
	}
	if len(others) <= fleetFanoutLimit {
		return rotated(others, offset)
	}
	addresses := rotated(sameZone, offset)
	return addresses[:min(len(addresses), zoneFanoutLimit)]
}

// rotated begins a list at a drawn place. Without it the same proxies would be last in every list, and so those whose
// reports are dropped when too many sends are under way.
func rotated(list []string, offset uint64) []string {
	if len(list) == 0 {
		return nil
	}
	first := int(offset % uint64(len(list)))
	return append(list[first:len(list):len(list)], list[:first]...)
}

func (s *reportPublisher) send(address string, record records.ReportRecord) {
	select {
	case s.sendSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.sendSlots }()
		ctx, cancel := context.WithTimeout(s.closed, reportSendTimeout)
		defer cancel()
		_ = transport.Send(ctx, s.client, address, reportMethod, reportCodec, record)
	}()
}

// PublishReport sends a receiver's report to the other proxies, as those are that this proxy has asked for. It neither
// takes the report itself nor waits for the others.
func (p *Plane) PublishReport(id dispatch.InstanceID, report dispatch.Report) {
	p.reports.publish(id, report)
}

// ReportsReceived counts the reports that other proxies have sent here since the start.
func (p *Plane) ReportsReceived() int64 { return p.reportsReceived.Load() }

// handleReport hands a report of another proxy to the dispatcher.
func (p *Plane) handleReport(record records.ReportRecord) {
	p.reportsReceived.Add(1)
	if record.CheckBounds() != nil || p.assignment.assigned(dispatch.InstanceID(record.Instance)) {
		return
	}
	p.proxy.HandleReport(dispatch.InstanceID(record.Instance), dispatch.Report{
		Running: record.Running, Queued: record.Queued, KVUsedTokens: int(record.KVUsed), KVTotalTokens: int(record.KVTotal),
		Age: time.Duration(record.AgeMillis) * time.Millisecond, Sequence: uint64(record.Sequence),
	})
}
