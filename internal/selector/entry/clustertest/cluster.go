package clustertest

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry"
	"cairndock/internal/selector/entry/clustertest/memnet"
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/standin"
	"cairndock/internal/selector/store"
	"cairndock/internal/settings"
	"cairndock/internal/suspend/suspendtest"
)

// The cluster's zones and hosts. A zone's name begins with its region, a host's
// with its zone, and an upstream's with "up-" and its zone.
var (
	zoneNames = []string{"costa-a", "costa-b", "sierra-a"}
	hostNames = []string{"costa-a-1", "costa-a-2", "costa-b-1", "sierra-a-1", "sierra-a-2"}
)

const (
	// UpstreamSlots is the number of slots of each upstream. It is small so that
	// tests reach limits soon.
	UpstreamSlots = 2
	// Latency is the time that an upstream takes for a request.
	Latency = 100 * time.Millisecond
	// Timeout is the timeout of clients for a request, and of hosts for opening a
	// connection to an upstream.
	Timeout = time.Second
)

// service is the configuration of the only service.
const service = `
[[service]]
name = "planning"
repeat = "safe"
timeout = "1s"
max_timeout = "2s"
`

// Anywhere is a rule that sends requests to every upstream.
const Anywhere = `
[[rule]]
name = "all"
service = "planning"
selector = ""
share = 1.0
`

// Cluster is a small system of hosts and upstreams on a fake network, in a synctest
// bubble.
type Cluster struct {
	T         *testing.T
	Net       *memnet.Network
	Memory    *store.Memory
	Upstreams map[string]*standin.Upstream
	hosts     sync.Map // maps the names of live hosts to *entry.Host
	// clocks maps host names to the *suspendtest.Clock of the host's machine.
	clocks sync.Map
}

// Run runs a test with a cluster that has the given rules in force, in a bubble of
// fake time.
func Run(t *testing.T, rules string, f func(c *Cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &Cluster{T: t, Net: &memnet.Network{Delay: delay}, Memory: store.NewMemory(), Upstreams: map[string]*standin.Upstream{}}
		defer c.closeAll()
		doc := service
		for _, zone := range zoneNames {
			doc += fmt.Sprintf("[[zone]]\nname = %q\nregion = %q\n", zone, regionOf(zone))
			for _, name := range []string{"up-" + zone + "-1", "up-" + zone + "-2"} {
				c.StartUpstream(name, "1")
				doc += fmt.Sprintf("[[upstream]]\nname = %q\nservice = \"planning\"\nzone = %q\naddr = %q\nslots = %d\n", name, zone, name+":1", UpstreamSlots)
			}
		}
		c.Apply("first", doc+rules, 0)
		for _, name := range hostNames {
			c.Start(name)
		}
		c.WaitSettled(30 * time.Second)
		f(c)
	})
}

// regionOf returns the region of a zone, host or upstream by its name.
func regionOf(name string) string {
	region, _, _ := strings.Cut(strings.TrimPrefix(name, "up-"), "-")
	return region
}

// delay returns the delay of a link: 1 ms within a region and 35 ms between
// regions.
func delay(from, to string) time.Duration {
	if regionOf(from) == regionOf(to) {
		return time.Millisecond
	}
	return 35 * time.Millisecond
}

// StartUpstream starts an instance of an upstream.
func (c *Cluster) StartUpstream(name, instance string) *standin.Upstream {
	u := &standin.Upstream{Name: name, Instance: instance, Slots: UpstreamSlots, Latency: Latency}
	l, err := memnet.End{Net: c.Net, Name: name}.Listen(name + ":1")
	require.NoError(c.T, err)
	go func() { _ = u.Serve(l) }()
	c.Upstreams[name] = u
	c.Memory.SetHost(name, store.Live)
	return u
}

// Apply appends a change directly to the log, like a host outside the cluster.
func (c *Cluster) Apply(id, doc string, base uint64) {
	d, err := config.ParseDocument([]byte(doc))
	require.NoError(c.T, err)
	change, err := d.Change(id, base)
	require.NoError(c.T, err)
	_, _, err = config.NewLog(c.Memory, c.Memory).Append(context.Background(), config.NewState(), change)
	require.NoError(c.T, err)
}

// Start starts a host, or a new incarnation of a host that was killed.
func (c *Cluster) Start(name string) *entry.Host {
	set := servesettings.Settings{
		Host:    settings.Host{Name: name, Zone: name[:strings.LastIndex(name, "-")], Region: regionOf(name)},
		Callers: servesettings.Callers{TTL: settings.Duration(5 * time.Second)},
		Peers:   servesettings.Peers{Listen: name + ":2", Seeds: []string{"costa-b-1:2"}},
	}
	entry.Default(&set)
	end := memnet.End{Net: c.Net, Name: name}
	p := platform{c.Memory, end}
	h := entry.New(entry.Options{
		SuspendClock: c.clock(name), Settings: set, Table: p, Objects: p, Hosts: p, Transport: end, Log: zerolog.Nop(),
		Traces: sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())), Seed: uint64(len(name)),
		DialUpstream: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, Timeout)
			defer cancel()
			return end.Dial(ctx, addr)
		},
	})
	require.NoError(c.T, h.Start(context.Background(), name+":3"))
	c.hosts.Store(name, h)
	c.Memory.SetHost(name, store.Live)
	return h
}

// clock returns the suspend clock of a host's machine.
func (c *Cluster) clock(host string) *suspendtest.Clock {
	v, _ := c.clocks.LoadOrStore(host, &suspendtest.Clock{})
	return v.(*suspendtest.Clock)
}

// Suspend simulates that a host's machine resumes after a suspension of the given
// duration.
func (c *Cluster) Suspend(host string, d time.Duration) { c.clock(host).Suspend(d) }

// Host returns a live host, or nil.
func (c *Cluster) Host(name string) *entry.Host {
	v, _ := c.hosts.Load(name)
	h, _ := v.(*entry.Host)
	return h
}

// Live returns the live hosts, always in the same order.
func (c *Cluster) Live() []*entry.Host {
	var out []*entry.Host
	for _, name := range hostNames {
		if h := c.Host(name); h != nil {
			out = append(out, h)
		}
	}
	return out
}

// closeAll stops all hosts and upstreams and waits until their goroutines have
// ended.
func (c *Cluster) closeAll() {
	c.Net.Cut(nil) // otherwise goroutines that wait for a cut link never end
	for _, h := range c.Live() {
		h.Close()
	}
	for _, u := range c.Upstreams {
		_ = u.Close()
	}
	time.Sleep(time.Minute) // all waiting goroutines end within this time
}

// WaitSettled waits until the hosts together hold all slots, are ready and see all
// zones. It returns the time that this took, or -1 after the limit.
func (c *Cluster) WaitSettled(limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		held, slots := c.Held()
		if held == slots && !slices.ContainsFunc(c.Live(), unsettled) {
			return time.Since(start)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return -1
}

// unsettled reports whether a host is not ready or has no contact to some zone.
func unsettled(h *entry.Host) bool { return !h.Ready() || len(h.Status().CutOff) > 0 }

// Held returns the number of slots that the live hosts hold, and the number of slots
// of all upstreams.
func (c *Cluster) Held() (held, slots int) {
	for _, h := range c.Live() {
		for _, svc := range h.Status().Services {
			held += svc.Held
		}
	}
	return held, len(c.Upstreams) * UpstreamSlots
}

// Over returns the number of requests that arrived at an upstream without a free
// slot.
func (c *Cluster) Over() int {
	sum := 0
	for _, u := range c.Upstreams {
		sum += u.Ledger().Over
	}
	return sum
}
