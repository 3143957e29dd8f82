// Package quickstart runs a complete small system in one process on loopback: the
// platform stand-in, 36 upstreams of two services, nine entry hosts in three
// regions and a configuration. It serves to try out the commands. Its session
// test (session_test.go) is the end-to-end test of `cairndock serve`.
package quickstart

import (
	"cmp"
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/server"
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/standin"
	"cairndock/internal/selector/store"
	"cairndock/internal/settings"
	"cairndock/internal/telemetry"
)

// regions are the regions of the quick start.
var regions = []string{"costa", "sierra", "austro"}

// zones are the zones of the quick start, two in each region.
var zones = []config.Zone{
	{Name: "costa-a", Region: "costa"}, {Name: "costa-b", Region: "costa"},
	{Name: "sierra-a", Region: "sierra"}, {Name: "sierra-b", Region: "sierra"},
	{Name: "austro-a", Region: "austro"}, {Name: "austro-b", Region: "austro"},
}

// The services of the quick start.
const (
	// planning serves short requests.
	planning = "planning"
	// documents serves downloads, which are bulk traffic.
	documents = "documents"
)

// The size and speed of the quick start. The system is small enough for one
// laptop, and large enough that hosts share upstreams.
const (
	// planningPerZone is the number of upstreams of the planning service in each
	// zone.
	planningPerZone = 4
	// documentsPerZone is the number of upstreams of the documents service in
	// each zone.
	documentsPerZone = 2
	// slotsPerUpstream is the number of requests that an upstream runs
	// concurrently.
	slotsPerUpstream = 6
	// PlanningLatency is the default of Options.Latency.
	PlanningLatency = 5 * time.Millisecond
	// documentsLatency is the time that an upstream of the documents service
	// takes for a request before it sends the body.
	documentsLatency = 10 * time.Millisecond
	// readyTimeout limits the time until all hosts are ready.
	readyTimeout = 30 * time.Second
	// readyPollInterval is the interval at which hosts are checked during the
	// start.
	readyPollInterval = 20 * time.Millisecond
	// loopback is a loopback address with any free port.
	loopback = "127.0.0.1:0"
)

// Options are the options of Start.
type Options struct {
	// CallerAddr and OperatorAddr are the addresses on which the first host
	// listens for clients and operators. An empty address means any free port
	// on loopback.
	CallerAddr   string
	OperatorAddr string
	// Latency is the time that an upstream of the planning service takes for a
	// request. Zero means PlanningLatency.
	Latency time.Duration
	// Log receives the hosts' log lines.
	Log zerolog.Logger
	// Traces receives the hosts' spans. If it is nil, they are dropped.
	Traces *sdktrace.TracerProvider
}

// System is a running quick start.
type System struct {
	// Token is the operators' token, which is required to change the
	// configuration.
	Token string
	// Servers are the running entry hosts.
	Servers []*server.Server
	// Upstreams are the running upstreams. UpstreamAddrs are their addresses in
	// the same order.
	Upstreams     []*standin.Upstream
	UpstreamAddrs []string
	// Platform contains a host's settings for the platform stand-in.
	Platform servesettings.Platform

	memory  *store.Memory // the platform's state
	options Options
	// configured are the Upstreams as configuration objects.
	configured []config.Upstream
	ctx        context.Context
	cancel     context.CancelFunc
	closers    []func()
}

// Start starts the system and waits until every host is ready. It fails if a part
// can't be started or if the hosts are not ready within 30 s.
func Start(ctx context.Context, o Options) (*System, error) {
	if o.Traces == nil {
		tp, err := telemetry.NewProvider(ctx, settings.Telemetry{}, nil)
		if err != nil {
			return nil, err
		}
		o.Traces = tp
	}
	o.Latency = cmp.Or(o.Latency, PlanningLatency)
	s := &System{memory: store.NewMemory(), Token: rand.Text(), options: o}
	s.ctx, s.cancel = context.WithCancel(ctx)
	for _, step := range []func() error{s.startPlatform, s.startUpstreams, s.writeConfig, s.startHosts, s.waitReady} {
		if err := step(); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *System) startPlatform() error {
	p, err := standin.Platform{Memory: s.memory}.Start()
	if err != nil {
		return err
	}
	s.Platform = p.Settings
	s.closers = append(s.closers, p.Close)
	return nil
}

func (s *System) startUpstreams() error {
	for _, zone := range zones {
		for i := range planningPerZone {
			if err := s.startUpstream(planning, zone.Name, i, s.options.Latency); err != nil {
				return err
			}
		}
		for i := range documentsPerZone {
			if err := s.startUpstream(documents, zone.Name, i, documentsLatency); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *System) startUpstream(service, zone string, i int, latency time.Duration) error {
	u := &standin.Upstream{
		Name: fmt.Sprintf("%s-%s-%d", service, zone, i+1), Instance: "1", Slots: slotsPerUpstream, Latency: latency,
	}
	addr, err := u.Start()
	if err != nil {
		return err
	}
	s.Upstreams = append(s.Upstreams, u)
	s.UpstreamAddrs = append(s.UpstreamAddrs, addr)
	s.configured = append(s.configured, config.Upstream{
		Name: u.Name, Service: service, Zone: zone, Addr: addr, Slots: u.Slots,
		Labels: map[string]string{"tier": "main"}, State: config.StateLive,
	})
	s.closers = append(s.closers, func() { _ = u.Close() })
	s.memory.SetHost(u.Name, store.Live)
	return nil
}

// writeConfig appends the configuration to the log. It runs before any host
// starts.
func (s *System) writeConfig() error {
	doc := s.document()
	change, err := doc.Change("quickstart", 0)
	if err != nil {
		return err
	}
	log := config.NewLog(store.NewTable(s.Platform), store.NewObjects(s.Platform))
	_, _, err = log.Append(s.ctx, config.NewState(), change)
	return err
}

func (s *System) startHosts() error {
	for i, zone := range zones {
		hostCount := 2 - i%2 // two hosts in the first zone of each region, one in the second
		for n := range hostCount {
			if err := s.startHost(fmt.Sprintf("%s-%d", zone.Name, n+1), zone); err != nil {
				return err
			}
		}
	}
	return nil
}

// startHost starts another entry host. The first host listens on the addresses in
// the options.
func (s *System) startHost(name string, zone config.Zone) error {
	set := servesettings.Settings{
		Host:      settings.Host{Name: name, Zone: zone.Name, Region: zone.Region},
		Callers:   servesettings.Callers{Listen: loopback},
		Operators: servesettings.Operators{Listen: loopback, Token: s.Token},
		Peers:     servesettings.Peers{Listen: loopback},
		Platform:  s.Platform,
	}
	if len(s.Servers) == 0 {
		set.Callers.Listen = cmp.Or(s.options.CallerAddr, loopback)
		set.Operators.Listen = cmp.Or(s.options.OperatorAddr, loopback)
	}
	if err := server.Prepare(&set); err != nil {
		return err
	}
	o, err := server.HostOptions(set, s.options.Log, s.options.Traces)
	if err != nil {
		return err
	}
	o.Seed = uint64(len(s.Servers) + 1)
	srv, err := server.Start(s.ctx, o)
	if err != nil {
		return err
	}
	s.Servers = append(s.Servers, srv)
	s.memory.SetHost(name, store.Live)
	return nil
}

// waitReady waits until every host is ready, has a settled roster of its zone and
// receives heartbeats from every other host.
func (s *System) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if s.settled() {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return eris.New("hosts were not ready in time")
}

// settled reports whether the conditions of waitReady are met.
func (s *System) settled() bool {
	for _, srv := range s.Servers {
		st := srv.Host.Status()
		up := 0
		for _, z := range st.Zones {
			up += z.Up
		}
		if !st.Ready || !st.Settled || up < len(s.Servers) {
			return false
		}
	}
	return true
}

// Stop stops all hosts concurrently and gracefully, and then closes the rest of
// the system.
func (s *System) Stop(ctx context.Context) {
	var stops sync.WaitGroup
	for _, srv := range s.Servers {
		stops.Go(func() { srv.Stop(ctx) })
	}
	stops.Wait()
	s.Servers = nil
	s.Close()
}

// Close closes the whole system immediately, as a crash would.
func (s *System) Close() {
	for _, srv := range s.Servers {
		srv.Close()
	}
	for _, f := range s.closers {
		f()
	}
	s.cancel()
}
