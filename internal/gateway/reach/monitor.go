package reach

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/pause"
)

const (
	// checkTimeout is the timeout of a connection of a check. It is far above the round
	// trip between two regions.
	checkTimeout = 300 * time.Millisecond
	// maxCheckDelay is how much longer a check may take. A check that takes longer proves
	// nothing, because the host had no CPU time.
	maxCheckDelay = 200 * time.Millisecond
	// checkInterval is the minimum time between two checks.
	checkInterval = 500 * time.Millisecond
	// minReached is the number of upstreams of a sample that must accept a connection for
	// the isolation to end.
	minReached = 2
)

// Reporter logs when the host loses its path to the upstreams and when it has it again.
type Reporter interface {
	Lost(kind, name string, err error)
	Regained(kind, name string, after time.Duration)
}

// Options are the dependencies of a Monitor. All are required.
type Options struct {
	// Upstreams returns the upstreams that may receive requests.
	Upstreams func() []*upstream.Upstream
	// Connect opens a connection to an upstream.
	Connect func(ctx context.Context, u *upstream.Upstream) error
	// Report is notified of each change.
	Report Reporter
}

// Monitor determines whether the host is isolated from all upstreams. It is safe for
// concurrent use.
type Monitor struct {
	options  Options
	isolated atomic.Bool
	// suspected wakes Run up. It holds at most one element.
	suspected chan struct{}

	mu sync.Mutex
	// connections are the upstreams to which no connection could be opened, and responses
	// those that did not respond on one. They are separate because connections that are
	// open may continue to work while no new ones can be opened.
	connections, responses suspicion
	// since is when the isolation began, and until when the last one ended.
	since, until time.Time
	// began is closed while the host is isolated.
	began chan struct{}
	// running is the check in progress; nil if there is none.
	running *check
}

// check is one check of a sample. done is closed when it is complete.
type check struct {
	began    time.Time
	done     chan struct{}
	isolated bool
}

// New returns a monitor of a host that is not isolated.
func New(o Options) *Monitor {
	return &Monitor{options: o, suspected: make(chan struct{}, 1), connections: suspicion{}, responses: suspicion{}, began: make(chan struct{})}
}

// Isolated reports whether the host reaches no upstream.
func (m *Monitor) Isolated() bool { return m.isolated.Load() }

// IsolatedSince reports whether the host was isolated at some time since then.
func (m *Monitor) IsolatedSince(then time.Time) bool {
	if m.Isolated() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.until.After(then)
}

// Suspected reports whether the host is isolated, or may be and is being checked. Failures that
// it observes then say nothing about the upstreams.
func (m *Monitor) Suspected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Isolated() || m.connections.warranted() || m.responses.warranted()
}

// IsolationBegan returns a channel that is closed as soon as the host is isolated.
func (m *Monitor) IsolationBegan() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.began
}

// RecordUnconnected records that no connection to an upstream could be opened.
func (m *Monitor) RecordUnconnected(u *upstream.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.connections.add(u.ID, u.Zone)
	m.suspectIf(m.connections.warranted())
}

// RecordUnanswered records that an upstream did not respond in time, or closed the connection.
func (m *Monitor) RecordUnanswered(u *upstream.Upstream) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.responses.add(u.ID, u.Zone)
	m.suspectIf(m.responses.warranted())
}

// suspectIf requests a check; m.mu is held.
func (m *Monitor) suspectIf(warranted bool) {
	if !warranted {
		return
	}
	select {
	case m.suspected <- struct{}{}:
	default: // a check is requested already
	}
}

// RecordResponse records that an upstream responded. newConnection is set if the connection
// was opened for the request.
func (m *Monitor) RecordResponse(newConnection bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.responses)
	if newConnection {
		clear(m.connections)
	}
}

// Run checks the path to the upstreams when it is suspected to be lost, and while it is,
// until the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for {
		if !m.Isolated() {
			select {
			case <-ctx.Done():
				return
			case <-m.suspected:
			}
		}
		m.Check()
		if !pause.For(ctx, checkInterval) {
			return
		}
	}
}

// Check reports whether the host is isolated, by a check that begins now. Concurrent calls
// share a check only if it began after they did.
func (m *Monitor) Check() bool {
	called := time.Now()
	for {
		c, started := m.begin()
		if started {
			m.complete(c, m.reached())
		}
		<-c.done
		if started || !c.began.Before(called) {
			return c.isolated
		}
	}
}

// begin returns the check in progress, or a new one that the caller must complete.
func (m *Monitor) begin() (_ *check, started bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running != nil {
		return m.running, false
	}
	m.running = &check{began: time.Now(), done: make(chan struct{})}
	return m.running, true
}

// result is the result of connecting to a sample.
type result struct {
	sampled, reached int
	// err is the error of one of the connections that failed.
	err error
}

// reached connects to a sample of the upstreams, and to another one if it reached none.
func (m *Monitor) reached() result {
	first, confirmation := samples(m.options.Upstreams())
	r := m.connect(first)
	if r.reached > 0 {
		return r
	}
	further := m.connect(confirmation)
	return result{sampled: r.sampled + further.sampled, reached: further.reached, err: r.err}
}

// connect connects to upstreams at the same time.
func (m *Monitor) connect(chosen []*upstream.Upstream) result {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	errs := make(chan error, len(chosen))
	for _, u := range chosen {
		go func() { errs <- m.options.Connect(ctx, u) }()
	}
	r := result{sampled: len(chosen)}
	for range chosen {
		if err := <-errs; err != nil {
			r.err = err
		} else {
			r.reached++
		}
	}
	return r
}

// complete ends a check and reports a change.
func (m *Monitor) complete(c *check, r result) {
	now := time.Now()
	m.mu.Lock()
	m.running = nil
	before := m.Isolated()
	c.isolated = next(before, r, now.Sub(c.began))
	m.isolated.Store(c.isolated)
	clear(m.connections)
	clear(m.responses)
	since := m.since
	switch {
	case c.isolated && !before:
		m.since = now
		close(m.began)
	case before && !c.isolated:
		m.until = now
		m.began = make(chan struct{})
	}
	m.mu.Unlock()
	close(c.done)
	switch {
	case c.isolated && !before:
		m.options.Report.Lost("upstreams", "all", eris.Wrapf(r.err, "none of %d upstreams can be reached", r.sampled))
	case before && !c.isolated:
		m.options.Report.Regained("upstreams", "all", now.Sub(since))
	}
}

// next returns whether the host is isolated after a check that took some time.
func next(isolated bool, r result, took time.Duration) bool {
	switch {
	case r.sampled == 0: // there are too few upstreams to tell
		return false
	case r.reached >= min(minReached, r.sampled):
		return false
	case r.reached == 0 && took < 2*checkTimeout+maxCheckDelay:
		return true
	default:
		return isolated
	}
}
