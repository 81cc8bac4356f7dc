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
	// fleetFanoutLimit is the maximum number of other proxies at which a report is sent to all of them. If there are more,
	// it goes to those of the sender's zone, whose programs have their home there. Proxies of other zones assume the mean
	// load for a receiver without a report. Every message costs a small proxy CPU time, so this also limits what reports
	// cost a fleet that has few proxies in each zone.
	fleetFanoutLimit = 40
	// zoneFanoutLimit limits the proxies of a zone that one report is sent to. If there are more, each report goes to a
	// subset chosen at random: each proxy then gets fewer reports, but none is left out for good.
	zoneFanoutLimit = 96
	// reportSendTimeout limits the sending of a report: an older report is of no use.
	reportSendTimeout = 300 * time.Millisecond
	// maxReportSends limits the concurrent sends to those of two reports; further ones are dropped, as the next report follows
	// soon.
	maxReportSends = 2 * zoneFanoutLimit
)

var reportCodec = transport.MustCodec[records.ReportRecord](records.ReportSchema)

// reportPublisher sends the reports that this proxy has polled to the other proxies.
type reportPublisher struct {
	client    *transport.Client
	cluster   *cluster.Cluster
	sendSlots chan struct{}
	closed    context.Context
}

func newReportPublisher(client *transport.Client, c *cluster.Cluster, closed context.Context) *reportPublisher {
	return &reportPublisher{client: client, cluster: c, sendSlots: make(chan struct{}, maxReportSends), closed: closed}
}

// publish sends a report to other live proxies. It does not wait for the sends.
func (s *reportPublisher) publish(id dispatch.InstanceID, report dispatch.Report) {
	record := records.ReportRecord{
		Instance: string(id), Running: report.Running, Queued: report.Queued, KVUsed: int64(report.KVUsedTokens),
		KVTotal: int64(report.KVTotalTokens), AgeMillis: report.Age.Milliseconds(), Sequence: int64(report.Sequence),
	}
	for _, address := range reportAddresses(s.cluster.Nodes(), s.cluster.Self(), rand.Uint64()) {
		s.send(address, record)
	}
}

// reportAddresses returns the addresses that a report is sent to: all other proxies if there are at most fleetFanoutLimit,
// else those of its own zone, at most zoneFanoutLimit of them. The offset, any number, rotates the list.
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

// rotated returns the list rotated by an offset. Without a random rotation the same proxies would be last in every list,
// and so would always be the ones whose reports are dropped at maxReportSends.
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

// PublishReport sends a receiver's report to other proxies, like the reports that this proxy has polled. It neither
// applies the report here nor waits for the sends.
func (p *Plane) PublishReport(id dispatch.InstanceID, report dispatch.Report) {
	p.reports.publish(id, report)
}

// ReportsReceived returns the number of reports received from other proxies since the start.
func (p *Plane) ReportsReceived() int64 { return p.reportsReceived.Load() }

// handleReport passes a report from another proxy to the dispatcher, unless it is invalid or this proxy polls the receiver.
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
