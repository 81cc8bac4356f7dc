package dataplane

import (
	"context"
	"time"

	"emberquay/admission/dispatch"
	"emberquay/internal/cluster"
	"emberquay/internal/cluster/records"
	"emberquay/internal/transport"
)

const (
	reportMethod transport.Method = "proxy.report"
	// directReports is up to how many other proxies a report is sent to each of them: all, where there are no more, else
	// those of the receiver's asker's zone, whose programs have their homes there. Proxies elsewhere take a receiver
	// without a report for one of mean load. Where one zone alone has more, reports go through the cluster: every node
	// then bears some four copies of every report, which is what this bound is there to avoid.
	directReports = 40
	// reportTimeout bounds the sending of a report: an older one is of no use.
	reportTimeout = 300 * time.Millisecond
	// reportSends bounds the sends under way; reports beyond are dropped, as the next ones come soon.
	reportSends = 64
)

var reportCodec = transport.MustCodec[records.ReportRecord](records.ReportSchema)

// reportSpreader brings the reports that this proxy has asked for to the others.
type reportSpreader struct {
	client  *transport.Client
	cluster *cluster.Cluster
	slots   chan struct{}
	closed  context.Context
}

func newReportSpreader(client *transport.Client, c *cluster.Cluster, closed context.Context) *reportSpreader {
	return &reportSpreader{client: client, cluster: c, slots: make(chan struct{}, reportSends), closed: closed}
}

// spread sends a report to the other live proxies. It does not wait for them.
func (s *reportSpreader) spread(id dispatch.InstanceID, report dispatch.Report) {
	record := records.ReportRecord{
		Instance: string(id), Running: report.Running, Queued: report.Queued, KVUsed: int64(report.KVUsed),
		KVTotal: int64(report.KVTotal), AgeMillis: report.Age.Milliseconds(), Sequence: int64(report.Sequence),
	}
	addresses, direct := reportAddresses(s.cluster.Nodes(), s.cluster.Self())
	if !direct {
		s.publish(record)
		return
	}
	for _, address := range addresses {
		s.send(address, record)
	}
}

// reportAddresses gives the proxies that a report is sent to; false: there are too many for that.
func reportAddresses(nodes []cluster.Node, self cluster.Node) ([]string, bool) {
	var all, near []string
	for _, n := range nodes {
		if n.Role != cluster.Proxy || !n.Live() || n.Address == self.Address {
			continue
		}
		all = append(all, n.Address)
		if n.Zone == self.Zone {
			near = append(near, n.Address)
		}
	}
	if len(all) <= directReports {
		return all, true
	}
	return near, len(near) <= directReports
}

func (s *reportSpreader) publish(record records.ReportRecord) {
	value, err := records.Reports.Encode(record)
	if err != nil {
		return
	}
	s.cluster.Publish(cluster.Entry{Key: cluster.ReportPrefix + record.Instance, Value: value})
}

func (s *reportSpreader) send(address string, record records.ReportRecord) {
	select {
	case s.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.slots }()
		ctx, cancel := context.WithTimeout(s.closed, reportTimeout)
		defer cancel()
		_ = transport.Send(ctx, s.client, address, reportMethod, reportCodec, record)
	}()
}

// takeReport hands a report of another proxy to the dispatcher.
func (p *Plane) takeReport(record records.ReportRecord) {
	if p.assignment.assigned(dispatch.InstanceID(record.Instance)) {
		return
	}
	p.proxy.Report(dispatch.InstanceID(record.Instance), dispatch.Report{
		Running: record.Running, Queued: record.Queued, KVUsed: int(record.KVUsed), KVTotal: int(record.KVTotal),
		Age: time.Duration(record.AgeMillis) * time.Millisecond, Sequence: uint64(record.Sequence),
	})
}

// takeSpreadReport does so with one that came through the cluster.
func (p *Plane) takeSpreadReport(entry cluster.Entry) {
	if record, err := records.Reports.Decode(entry.Value); err == nil {
		p.takeReport(record)
	}
}
