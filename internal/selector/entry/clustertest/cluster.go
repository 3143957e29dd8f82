package clustertest

import (
	"context"
	"fmt"
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
)

// zones are the zones of the test cluster and their hosts.
var zones = []struct {
	zone, region string
	hosts        []string
}{
	{"costa-a", "costa", []string{"costa-a-1", "costa-a-2"}},
	{"costa-b", "costa", []string{"costa-b-1"}},
	{"sierra-a", "sierra", []string{"sierra-a-1", "sierra-a-2"}},
}

const (
	// ZoneUpstreams is how many upstreams each zone has.
	ZoneUpstreams = 2
	// UpstreamSlots is how many slots each upstream has: few, so that limits are
	// reached soon.
	UpstreamSlots = 2
	// Latency is how long an upstream takes for a request.
	Latency = 100 * time.Millisecond
	// Timeout is how long clients wait.
	Timeout = time.Second
)

// Anywhere is a rule that sends requests to every upstream.
const Anywhere = `
[[rule]]
name = "all"
service = "planning"
selector = ""
share = 1.0
`

// Cluster is a small system on a fake network, in a synctest bubble.
type Cluster struct {
	T         *testing.T
	Net       *memnet.Network
	Memory    *store.Memory
	Upstreams map[string]*standin.Upstream

	mu    sync.Mutex
	hosts map[string]*entry.Host
}

// Run runs a test on a cluster whose time is fake.
func Run(t *testing.T, extra string, f func(c *Cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &Cluster{T: t, Memory: store.NewMemory(), hosts: map[string]*entry.Host{}, Upstreams: map[string]*standin.Upstream{}}
		c.Net = memnet.New(testDelay)
		defer c.closeAll()
		doc := c.startUpstreams() + extra
		c.Apply("first", doc, 0)
		for _, z := range zones {
			for _, name := range z.hosts {
				c.Start(name, z.zone, z.region)
			}
		}
		c.WaitSettled(30 * time.Second)
		f(c)
	})
}

// testDelay is 1 ms within a region and 35 ms between regions.
func testDelay(from, to string) time.Duration {
	a, _, _ := strings.Cut(strings.TrimPrefix(from, "up-"), "-")
	b, _, _ := strings.Cut(strings.TrimPrefix(to, "up-"), "-")
	if a == b {
		return time.Millisecond
	}
	return 35 * time.Millisecond
}

func (c *Cluster) startUpstreams() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[service]]\nname = \"planning\"\nrepeat = \"safe\"\ntimeout = \"1s\"\nmax_timeout = \"2s\"\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "[[zone]]\nname = %q\nregion = %q\n", z.zone, z.region)
		for i := range ZoneUpstreams {
			name := fmt.Sprintf("up-%s-%d", z.zone, i+1)
			c.StartUpstream(name, "1")
			fmt.Fprintf(&b, "[[upstream]]\nname = %q\nservice = \"planning\"\nzone = %q\naddr = %q\nslots = %d\n",
				name, z.zone, name+":1", UpstreamSlots)
		}
	}
	return b.String()
}

// StartUpstream starts an instance of an upstream.
func (c *Cluster) StartUpstream(name, instance string) *standin.Upstream {
	u := &standin.Upstream{Name: name, Instance: instance, Slots: UpstreamSlots, Latency: Latency}
	l, err := c.Net.End(name).Listen(name + ":1")
	require.NoError(c.T, err)
	go func() { _ = u.Serve(l) }()
	c.Upstreams[name] = u
	c.Memory.SetHost(name, store.Live)
	return u
}

// Apply writes a change straight to the log, as another host would.
func (c *Cluster) Apply(id, doc string, base uint64) {
	d, err := config.ParseDocument([]byte(doc))
	require.NoError(c.T, err)
	change, err := d.Change(id, base)
	require.NoError(c.T, err)
	_, _, err = config.NewLog(c.Memory, c.Memory).Append(context.Background(), config.NewState(), change)
	require.NoError(c.T, err)
}

// Start starts a host, or a new incarnation of one.
func (c *Cluster) Start(name, zone, region string) *entry.Host {
	set := servesettings.Settings{
		Host:    settings.Host{Name: name, Zone: zone, Region: region},
		Callers: servesettings.Callers{TTL: settings.Duration(5 * time.Second)},
		Peers:   servesettings.Peers{Listen: name + ":2", Seeds: []string{"costa-b-1:2"}},
	}
	entry.Default(&set)
	table := tableOf{c.Memory, c.Net, name}
	h := entry.New(entry.Options{
		Settings: set, Table: table, Objects: table, Hosts: table, Transport: c.Net.End(name),
		DialUpstream: c.Net.End(name).DialUpstream, Log: zerolog.Nop(),
		Traces: sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())), Seed: uint64(len(name)),
	})
	require.NoError(c.T, h.Start(context.Background(), name+":3"))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[name] = h
	c.Memory.SetHost(name, store.Live)
	return h
}

// Kill ends a host at once; the platform's list says so 3 s later.
func (c *Cluster) Kill(name string) {
	h := c.Host(name)
	c.Forget(name)
	h.Close()
	time.AfterFunc(3*time.Second, func() {
		if c.Host(name) == nil {
			c.Memory.SetHost(name, store.Gone)
		}
	})
}

// Host gives a live host, or nil.
func (c *Cluster) Host(name string) *entry.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[name]
}

// Forget takes a host off the list of live ones.
func (c *Cluster) Forget(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.hosts, name)
}

// Live gives the live hosts, always in the same order.
func (c *Cluster) Live() []*entry.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*entry.Host
	for _, z := range zones {
		for _, name := range z.hosts {
			if h := c.hosts[name]; h != nil {
				out = append(out, h)
			}
		}
	}
	return out
}

// WaitSettled waits until the hosts together hold every slot.
func (c *Cluster) WaitSettled(limit time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		if c.Held() == c.Slots() && c.allReady() {
			return time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return -1
}

func (c *Cluster) allReady() bool {
	for _, h := range c.Live() {
		if !h.Ready() || len(h.Status().CutOff) > 0 {
			return false
		}
	}
	return true
}

// Slots is how many slots all upstreams have.
func (c *Cluster) Slots() int { return len(c.Upstreams) * UpstreamSlots }

// Held sums the slots that the live hosts may use.
func (c *Cluster) Held() int {
	sum := 0
	for _, h := range c.Live() {
		for _, svc := range h.Status().Services {
			sum += svc.Held
		}
	}
	return sum
}

func (c *Cluster) closeAll() {
	for _, h := range c.Live() {
		h.Close()
	}
	for _, u := range c.Upstreams {
		_ = u.Close()
	}
	time.Sleep(time.Minute) // everything that waits has ended by then
}

// Over sums the requests that met an upstream without a free slot.
func (c *Cluster) Over() int {
	sum := 0
	for _, u := range c.Upstreams {
		sum += u.Ledger().Over
	}
	return sum
}
