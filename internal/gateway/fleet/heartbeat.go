package fleet

import (
	"context"
	"sync"
	"time"

	"cairndock/internal/peer"
	"cairndock/internal/poison"
)

// heartbeat is both the request and the response of an exchange.
type heartbeat struct {
	Host   Host   `msgpack:"h"`
	Status Status `msgpack:"s"`
	// Query requests other hosts from the peer. The response has them in Hosts.
	Query hostQuery `msgpack:"a,omitempty"`
	Hosts []Host    `msgpack:"l,omitempty"`
	// Suspicions are the sender's suspicions that the receiver does not have yet.
	Suspicions poison.Update `msgpack:"p,omitempty"`
	// Loads are the load reports that the sender received from upstreams since its last
	// exchange with the receiver, a host of its zone (see loadcodec.go).
	Loads []byte `msgpack:"o,omitempty"`
}

// heartbeatLoop sends the heartbeats that are due and reports dead peers until the
// context ends.
func (f *Fleet) heartbeatLoop(ctx context.Context) {
	f.querySeeds(ctx)
	ticker := time.NewTicker(schedulerTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		f.reportStall(now.Sub(last))
		for _, p := range f.due(now) {
			go f.exchangeHeartbeat(ctx, p.host)
		}
		f.reportDead(last, now)
		f.updateAssignment(now)
		f.rewriteLost(ctx)
		f.probeStore(ctx, now)
		last = now
	}
}

// minStall is the minimum delay of a tick that is reported. A host with a fraction of a
// core may wait for a tenth of a second when that fraction is used up.
const minStall = 200 * time.Millisecond

// reportStall reports a tick that came much later than expected. During the delay the
// process had no CPU time, so its requests were delayed as well.
func (f *Fleet) reportStall(sinceLast time.Duration) {
	if late := sinceLast - schedulerTick; late >= minStall {
		f.options.Report.Stalled(late)
	}
}

// reportDead forgets expired peers and logs the peers that died between since and now.
func (f *Fleet) reportDead(since, now time.Time) {
	f.mu.Lock()
	dead := f.members.expire(since, now)
	f.mu.Unlock()
	for _, h := range dead {
		f.options.Report.Lost("peer", h.Name, context.DeadlineExceeded)
	}
}

// heartbeatAll exchanges heartbeats with all known peers concurrently and waits for the
// exchanges to end.
func (f *Fleet) heartbeatAll(ctx context.Context) {
	var wait sync.WaitGroup
	for _, h := range f.hosts(queryAll) {
		wait.Go(func() { f.exchangeHeartbeat(ctx, h) })
	}
	wait.Wait()
}

// exchangeHeartbeat sends a heartbeat to a peer and records the response. Of a seed only
// the address is known. A failure is not logged here, because the peer is reported as
// lost once it counts as dead.
func (f *Fleet) exchangeHeartbeat(ctx context.Context, to Host) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	f.mu.Lock()
	query := f.discovery.next(to.Region, time.Now())
	f.mu.Unlock()
	request := f.withSuspicions(heartbeat{Host: f.options.Self, Status: f.status(), Query: query}, to.Name)
	request, loads := f.withLoads(request, to, time.Now())
	response, err := peer.Call[heartbeat](ctx, f.mesh, to.PeerAddress, peer.KindHeartbeat, request)
	if err != nil {
		// The next heartbeat uses a new connection, so that it does not wait behind data
		// that a network partition holds up.
		f.mesh.Drop(to.PeerAddress)
		return
	}
	f.recordHeartbeat(response)
	f.recordSentLoads(response.Host.Name, loads)
	f.addKnown(response.Hosts)
	if !f.staysPeer(response.Host) {
		// The host was introduced only. A connection to each host of a large region would
		// take memory and descriptors of both.
		f.mesh.Drop(to.PeerAddress)
	}
	if query == queryAll {
		f.mu.Lock()
		f.discovery.complete = true
		f.mu.Unlock()
	}
}

// staysPeer reports whether this host goes on exchanging heartbeats with another one: with
// those of its own region that it always does, and with the few it chose of other regions.
func (f *Fleet) staysPeer(h Host) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return h.Region != f.options.Self.Region || f.members.firstHosts(time.Now()).exchanges(f.options.Self, h)
}

// recordHeartbeat records a heartbeat or the response to one.
func (f *Fleet) recordHeartbeat(b heartbeat) {
	now := time.Now()
	f.mu.Lock()
	regained := f.members.recordHeartbeat(b.Host, b.Status, now)
	f.recordVersions(b.Status, now)
	if regained {
		f.nextHeartbeat[b.Host.Name] = now.Add(heartbeatInterval)
	}
	f.mu.Unlock()
	if regained {
		f.options.Report.Regained("peer", b.Host.Name, 0)
	}
	f.mergeLoads(b, now)
	if complete := f.mergeSuspicions(b, now); complete && b.Status.Ready && !b.Status.QuarantinesUnknown {
		f.recordQuarantinesLearned(b.Host.Name)
	}
	if f.options.Notices != nil {
		f.options.Notices.Merge(b.Status.Notices, now)
	}
	if f.options.Observations != nil && b.Host.Region == f.options.Self.Region {
		f.options.Observations.Merge(b.Host.Name, b.Status.Observations, now)
	}
}

// serveHeartbeat records a peer's heartbeat and responds with this host's. A heartbeat
// that cannot be decoded is not logged, because that would happen several times per
// second. The peer gets no response and is reported as lost here once it counts as dead.
func (f *Fleet) serveHeartbeat(payload []byte, w *peer.Responder) {
	b, err := peer.Decode[heartbeat](payload)
	if err != nil {
		fail(w)
		return
	}
	f.recordHeartbeat(b)
	f.postpone(b.Host.Name)
	response := f.withSuspicions(heartbeat{Host: f.options.Self, Status: f.status(), Hosts: f.hosts(b.Query)}, b.Host.Name)
	response, loads := f.withLoads(response, b.Host, time.Now())
	if respond(w, response) {
		f.recordSentLoads(b.Host.Name, loads)
	}
}
