// Package quickstart runs a whole small system in one process, on loopback: the
// platform stand-in, 36 upstreams of two services and nine entry hosts in three
// regions, with a configuration. It is for trying the commands, and the
// end-to-end test of `cairndock serve` is its session (session_test.go).
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

// zones are its zones, two in each region.
var zones = []config.Zone{
	{Name: "costa-a", Region: "costa"}, {Name: "costa-b", Region: "costa"},
	{Name: "sierra-a", Region: "sierra"}, {Name: "sierra-b", Region: "sierra"},
	{Name: "austro-a", Region: "austro"}, {Name: "austro-b", Region: "austro"},
}

// The services of the quick start.
const (
	// planning has short requests.
	planning = "planning"
	// documents has downloads, as bulk traffic.
	documents = "documents"
)

// The size and speed of the quick start. Small enough for one laptop, large
// enough that hosts share upstreams.
const (
	// planningPerZone is the planning service's upstreams in each zone.
	planningPerZone = 4
	// documentsPerZone is the documents service's upstreams in each zone.
	documentsPerZone = 2
	// slotsPerUpstream is how many requests an upstream runs at a time.
	slotsPerUpstream = 6
	// PlanningLatency is the time of a request at an upstream of the planning
	// service, unless Options.Latency is set.
	PlanningLatency = 5 * time.Millisecond
	// documentsLatency is the time of a request at an upstream of the documents
	// service, before its bytes.
	documentsLatency = 10 * time.Millisecond
	// readyTimeout limits the start of all hosts.
	readyTimeout = 30 * time.Second
	// readyPoll is how often hosts are checked while they start.
	readyPoll = 20 * time.Millisecond
	// loopback is any free port of the own machine.
	loopback = "127.0.0.1:0"
)

// Options are the options of Start.
type Options struct {
	// CallerAddr and OperatorAddr are where the first host listens; any free
	// port if empty.
	CallerAddr   string
	OperatorAddr string
	// Latency is the time of a request at an upstream of the planning service;
	// zero is PlanningLatency.
	Latency time.Duration
	Log     zerolog.Logger
	// Traces receives the hosts' spans; nil drops them.
	Traces *sdktrace.TracerProvider
}

// System is a running quick start.
type System struct {
	// Token is the operators' token, for changes of the configuration.
	Token   string
	Servers []*server.Server
	// Upstreams are the upstreams, UpstreamAddrs their addresses in the same
	// order.
	Upstreams     []*standin.Upstream
	UpstreamAddrs []string
	// Platform are a host's settings to reach the platform stand-in.
	Platform servesettings.Platform

	memory  *store.Memory // the platform's state
	options Options
	// configured are Upstreams as objects of the configuration.
	configured []config.Upstream
	ctx        context.Context
	cancel     context.CancelFunc
	closers    []func()
}

// Start starts everything and waits until every host is ready.
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

// writeConfig appends the configuration to the log, before any host starts.
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
		hosts := 2 - i%2 // two in the first zone of each region
		for n := range hosts {
			if err := s.startHost(fmt.Sprintf("%s-%d", zone.Name, n+1), zone); err != nil {
				return err
			}
		}
	}
	return nil
}

// startHost starts one more entry host; the first one at the options' addresses.
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

// waitReady waits until every host is ready, has settled its zone's roster and
// has heartbeats of every other.
func (s *System) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if s.settled() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return eris.New("hosts were not ready in time")
}

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

// Stop takes every host out of service, all at a time, and ends everything else.
func (s *System) Stop(ctx context.Context) {
	var stops sync.WaitGroup
	for _, srv := range s.Servers {
		stops.Go(func() { srv.Stop(ctx) })
	}
	stops.Wait()
	s.Servers = nil
	s.Close()
}

// Close ends everything at once, as a crash would.
func (s *System) Close() {
	for _, srv := range s.Servers {
		srv.Close()
	}
	for _, f := range s.closers {
		f()
	}
	s.cancel()
}
