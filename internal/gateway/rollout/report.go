package rollout

import (
	"maps"
	"time"
)

// reportTTL is how long the report of a host counts. Hosts report several times in this
// time. A host that ended or reports to another host is dropped after it.
const reportTTL = 1500 * time.Millisecond

// Report is what a host and those that report to it know of the running roll-outs, by
// service. It is sent from host to host (msgpack), along the tree of a region.
type Report map[string]ServiceReport

// ServiceReport is a report about one service.
type ServiceReport struct {
	// Order is the version of the order that the report is about.
	Order    int64    `msgpack:"o"`
	Evidence Evidence `msgpack:"e"`
	// Confirmed is the sum of the IDs of the hosts that have confirmed, for the revision
	// of the record, that they send nothing to other versions and have no request in
	// flight there. A host that is counted twice makes the sum differ from that of all
	// hosts, so that no other host can be missing unnoticed.
	Confirmed uint64 `msgpack:"c,omitempty"`
	Revision  int64  `msgpack:"v,omitempty"`
}

// plus returns the sum of two reports. Reports about another order are not added, and
// confirmations of another revision do not count.
func (r ServiceReport) plus(other ServiceReport) ServiceReport {
	if r.Order != other.Order {
		return r
	}
	r.Evidence = r.Evidence.plus(other.Evidence)
	if r.Revision == other.Revision {
		r.Confirmed += other.Confirmed
	}
	return r
}

// Reply is the reply to a Report, by service.
type Reply map[string]ServiceReply

// ServiceReply is a reply about one service.
type ServiceReply struct {
	// Order is the version of the order that the reply is about.
	Order int64 `msgpack:"o"`
	// Slow, SlowRepeated and SlowFirst are the thresholds for slow responses. Hosts of versions
	// without the last two send and use Slow only.
	Slow         map[string]time.Duration `msgpack:"s,omitempty"`
	SlowRepeated map[string]time.Duration `msgpack:"p,omitempty"`
	SlowFirst    map[string]time.Duration `msgpack:"f,omitempty"`
	// Suspend is set when the target was found to be bad. Hosts then send nothing more
	// there, also while the store, and thus the decision, is out of reach.
	Suspend bool `msgpack:"b,omitempty"`
}

// reports holds the reports of the hosts that report to this one.
type reports struct {
	received map[string]receivedReport
}

type receivedReport struct {
	report Report
	at     time.Time
}

// add adds the report of a host, which replaces its earlier one.
func (r *reports) add(host string, report Report, now time.Time) {
	if r.received == nil {
		r.received = map[string]receivedReport{}
	}
	maps.DeleteFunc(r.received, func(_ string, old receivedReport) bool { return now.Sub(old.at) >= reportTTL })
	r.received[host] = receivedReport{report, now}
}

// plus returns a host's own report plus those that it received.
func (r *reports) plus(own Report, now time.Time) Report {
	sum := maps.Clone(own)
	for _, received := range r.received {
		if now.Sub(received.at) >= reportTTL {
			continue
		}
		for service, report := range received.report {
			if mine, known := sum[service]; known {
				sum[service] = mine.plus(report)
			}
		}
	}
	return sum
}

// Report returns what this host and those that report to it know.
func (t *Table) Report(now time.Time) Report {
	own := Report{}
	for _, service := range t.running() {
		own[service] = t.ownReport(service, now)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reports.plus(own, now)
}

func (t *Table) ownReport(service string, now time.Time) ServiceReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	report := ServiceReport{Order: s.record.Version, Evidence: s.observer.snapshot(now), Revision: s.record.Revision}
	if t.confirm(s, now) {
		report.Confirmed = t.options.HostID
	}
	return report
}

// confirm reports whether no request is in flight at other versions and none will be sent
// there; t.mu is held. A request that was chosen by an earlier plan counts as in flight
// before it asks for the plan once more, so that either this function or the request notices
// the other.
func (t *Table) confirm(s *serviceState, now time.Time) bool {
	if s.record.Phase != Shift || s.withdrawn || s.unsaved {
		return false
	}
	if s.confirmed == s.record.Revision {
		return true
	}
	if s.isCautious(true, now) || t.options.InFlight(s.record.Service, s.record.Target) > 0 {
		return false
	}
	s.confirmed = s.record.Revision
	return true
}

// Receive records the report of another host, and returns the reply.
func (t *Table) Receive(host string, report Report, now time.Time) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports.add(host, report, now)
	reply := Reply{}
	for service := range report {
		if s := t.services[service]; s != nil {
			reply[service] = ServiceReply{Order: s.record.Version, Slow: s.slow.Any, SlowRepeated: s.slow.Repeated, SlowFirst: s.slow.First, Suspend: now.Before(s.suspendedUntil)}
		}
	}
	return reply
}

// Apply applies the reply to this host's report.
func (t *Table) Apply(reply Reply, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service, r := range reply {
		s := t.services[service]
		if s == nil || s.record.Version != r.Order {
			continue
		}
		s.slow = thresholds{Any: r.Slow, Repeated: r.SlowRepeated, First: r.SlowFirst}
		s.observer.setSlow(s.slow)
		if r.Suspend {
			s.suspendedUntil = now.Add(suspendTime)
		}
	}
}
