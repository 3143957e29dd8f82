// Package quickstart runs a whole small system in one process: the platform
// stand-in, upstreams and nine entry hosts, on loopback.
package quickstart

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry"
	"cairndock/internal/selector/server"
	"cairndock/internal/selector/standin"
	"cairndock/internal/selector/store"
	"cairndock/internal/settings"
	"cairndock/internal/telemetry"
)

// The regions of the quick start, each with zones a and b.
var regions = []string{"costa", "sierra", "austro"}

// The services of the quick start.
const (
	Planning  = "planning"
	Documents = "documents"

	planningPerZone  = 4
	documentsPerZone = 2
	slotsPerUpstream = 6
	loopback         = "127.0.0.1:0"

	// PlanningLatency is how long an upstream of the planning service takes
	// unless the options say otherwise, and documentsLatency one of the other.
	PlanningLatency  = 5 * time.Millisecond
	documentsLatency = 10 * time.Millisecond
)

// Options say where the first host listens.
type Options struct {
	CallerAddr   string
	OperatorAddr string
	// Latency is how long an upstream of the planning service takes; zero is
	// PlanningLatency.
	Latency time.Duration
	Log     zerolog.Logger
	Traces  *sdktrace.TracerProvider
}

// System is a running quick start.
type System struct {
	// Memory is the platform's state, Token what operators' writes bear.
	Memory    *store.Memory
	Token     string
	Servers   []*server.Server
	Upstreams []*standin.Upstream
	// Platform says how further hosts reach the platform stand-in.
	Platform settings.Platform
	// UpstreamAddrs are the addresses of Upstreams, in the same order.
	UpstreamAddrs []string

	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	closers []func()
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
	o.Latency = settings.Default(o.Latency, PlanningLatency)
	s := &System{Memory: store.NewMemory(), Token: rand.Text(), options: o}
	s.ctx, s.cancel = context.WithCancel(ctx)
	for _, step := range []func() error{s.startPlatform, s.startUpstreams, s.writeConfig, s.startHosts, s.waitReady} {
		if err := step(); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, nil
}

// serve serves a handler at a new loopback address.
func (s *System) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }()
	s.closers = append(s.closers, func() { _ = srv.Close() })
	return "http://" + l.Addr().String(), nil
}

func (s *System) startPlatform() error {
	p := standin.Platform{Memory: s.Memory}
	table, err := s.serve(p.TableHandler())
	if err != nil {
		return err
	}
	objects, err := s.serve(p.ObjectHandler())
	if err != nil {
		return err
	}
	hosts, err := s.serve(p.HostsHandler())
	if err != nil {
		return err
	}
	s.Platform = settings.Platform{
		TableEndpoint: table, ObjectEndpoint: objects, HostsURL: hosts,
		Table: "cairndock", Bucket: "cairndock", Region: "local", AccessKey: "stand-in", SecretKey: "stand-in",
	}
	return nil
}

func zonesOf(region string) []string { return []string{region + "-a", region + "-b"} }

func (s *System) startUpstreams() error {
	for _, region := range regions {
		for _, zone := range zonesOf(region) {
			for i := range planningPerZone {
				if err := s.startUpstream(Planning, zone, i, s.options.Latency); err != nil {
					return err
				}
			}
			for i := range documentsPerZone {
				if err := s.startUpstream(Documents, zone, i, documentsLatency); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (s *System) startUpstream(service, zone string, i int, latency time.Duration) error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	u := &standin.Upstream{
		Name: fmt.Sprintf("%s-%s-%d", service, zone, i+1), Instance: "1", Slots: slotsPerUpstream, Latency: latency,
	}
	go func() { _ = u.Serve(l) }()
	s.Upstreams = append(s.Upstreams, u)
	s.UpstreamAddrs = append(s.UpstreamAddrs, l.Addr().String())
	s.closers = append(s.closers, func() { _ = u.Close() })
	s.Memory.SetHost(u.Name, store.Live)
	return nil
}

// Document is the configuration that the quick start begins with.
func (s *System) Document() string {
	var b strings.Builder
	for _, region := range regions {
		for _, zone := range zonesOf(region) {
			fmt.Fprintf(&b, "[[zone]]\nname = %q\nregion = %q\n", zone, region)
		}
	}
	fmt.Fprintf(&b, "[[service]]\nname = %q\nclass = \"interactive\"\nrepeat = \"safe\"\nprefer = \"headroom\"\ntimeout = \"2s\"\nmax_timeout = \"5s\"\n", Planning)
	fmt.Fprintf(&b, "[[service]]\nname = %q\nclass = \"bulk\"\nrepeat = \"safe\"\nprefer = \"headroom\"\ntimeout = \"20s\"\nmax_timeout = \"60s\"\n", Documents)
	for i, u := range s.Upstreams {
		service, rest, _ := strings.Cut(u.Name, "-")
		zone := rest[:strings.LastIndex(rest, "-")]
		fmt.Fprintf(&b, "[[upstream]]\nname = %q\nservice = %q\nzone = %q\naddr = %q\nslots = %d\nlabels = { tier = \"main\" }\n",
			u.Name, service, zone, s.UpstreamAddrs[i], u.Slots)
	}
	fmt.Fprintf(&b, "[[rule]]\nname = \"planning-costa\"\nservice = %q\nselector = \"region=costa\"\nshare = 0.5\ncap = 0.6\n", Planning)
	fmt.Fprintf(&b, "[[rule]]\nname = \"planning-rest\"\nservice = %q\nselector = \"region!=costa\"\nshare = 0.5\n", Planning)
	fmt.Fprintf(&b, "[[rule]]\nname = \"documents-all\"\nservice = %q\nselector = \"tier=main\"\nshare = 1.0\n", Documents)
	b.WriteString("[[block]]\ncidr = \"127.0.0.0/8\"\nzone = \"costa-a\"\n")
	b.WriteString("[[block]]\ncidr = \"10.2.0.0/16\"\nzone = \"sierra-a\"\n")
	for _, from := range regions {
		for _, to := range regions {
			if from != to {
				fmt.Fprintf(&b, "[[link]]\nfrom = %q\nto = %q\nbytes_per_second = 20_000_000\n", from, to)
			}
		}
	}
	return b.String()
}

func (s *System) writeConfig() error {
	doc, err := config.ParseDocument([]byte(s.Document()))
	if err != nil {
		return err
	}
	change, err := doc.Change("quickstart", 0)
	if err != nil {
		return err
	}
	log := config.NewLog(store.NewTable(s.Platform), store.NewObjects(s.Platform))
	_, _, err = log.Append(s.ctx, config.NewState(), change)
	return err
}

func (s *System) startHosts() error {
	for _, region := range regions {
		for i, zone := range zonesOf(region) {
			hosts := 2 - i // two in the first zone of each region
			for n := range hosts {
				if err := s.StartHost(fmt.Sprintf("%s-%d", zone, n+1), zone, region); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// StartHost starts one more entry host.
func (s *System) StartHost(name, zone, region string) error {
	set := settings.Settings{
		Host:      settings.Host{Name: name, Zone: zone, Region: region},
		Callers:   settings.Callers{Listen: loopback},
		Operators: settings.Operators{Listen: loopback, Token: s.Token},
		Peers:     settings.Peers{Listen: loopback},
		Platform:  s.Platform,
	}
	if len(s.Servers) == 0 {
		set.Callers.Listen = settings.Default(s.options.CallerAddr, loopback)
		set.Operators.Listen = settings.Default(s.options.OperatorAddr, loopback)
	}
	if err := server.Prepare(&set); err != nil {
		return err
	}
	o, err := server.Remote(set, s.options.Log, s.options.Traces)
	if err != nil {
		return err
	}
	o.Seed = uint64(len(s.Servers) + 1)
	srv, err := server.Start(s.ctx, o, entry.TCP{})
	if err != nil {
		return err
	}
	s.Servers = append(s.Servers, srv)
	s.Memory.SetHost(name, store.Live)
	return nil
}

// readyTimeout bounds the start of all hosts.
const readyTimeout = 30 * time.Second

// waitReady waits until every host serves, has settled its zone's roster
// and hears from every other.
func (s *System) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if s.settled() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return eris.New("hosts were not ready in time")
}

func (s *System) settled() bool {
	for _, srv := range s.Servers {
		st := srv.Host().Status()
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

// Stop stops every host as planned and then everything else.
func (s *System) Stop(ctx context.Context) {
	done := make(chan struct{})
	for _, srv := range s.Servers {
		go func() {
			srv.Stop(ctx)
			done <- struct{}{}
		}()
	}
	for range s.Servers {
		<-done
	}
	s.Servers = nil
	s.Close()
}

// Close ends everything at once.
func (s *System) Close() {
	for _, srv := range s.Servers {
		srv.Close()
	}
	for _, f := range s.closers {
		f()
	}
	s.cancel()
}
