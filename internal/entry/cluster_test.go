package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"

	"cairndock/internal/call"
	"cairndock/internal/config"
	"cairndock/internal/platform"
	"cairndock/internal/settings"
	"cairndock/internal/standin"
	"cairndock/internal/verdict"
)

// clusterZones are the zones of the test cluster and how many hosts each has.
var clusterZones = []struct {
	zone, region string
	hosts        int
}{{"costa-a", "costa", 2}, {"costa-b", "costa", 1}, {"sierra-a", "sierra", 2}}

const (
	testUpstreams = 2 // per zone
	testSlots     = 2
	testLatency   = 100 * time.Millisecond
	testTimeout   = time.Second
)

// cluster is a small system on a fake network, in a synctest bubble.
type cluster struct {
	t         *testing.T
	net       *fakeNet
	memory    *platform.Memory
	mu        sync.Mutex
	hosts     map[string]*Host
	upstreams map[string]*standin.Upstream
}

// TestMain keeps the tests on one processor. Time in a synctest bubble is
// then the same in every run, and the race detector's own state for a
// bubble's timers is not used from two threads at once, which crashed it
// (Go 1.26.8).
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}

// inBubble runs a test on a cluster whose time is fake.
func inBubble(t *testing.T, extra string, f func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, memory: platform.NewMemory(), hosts: map[string]*Host{}, upstreams: map[string]*standin.Upstream{}}
		c.net = newFakeNet(testDelay)
		defer c.closeAll()
		doc := c.startUpstreams() + extra
		c.apply("first", doc, 0)
		for _, z := range clusterZones {
			for i := range z.hosts {
				c.start(fmt.Sprintf("%s-%d", z.zone, i+1), z.zone, z.region)
			}
		}
		c.waitSettled(30 * time.Second)
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

func (c *cluster) startUpstreams() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[[service]]\nname = \"planning\"\nrepeat = \"safe\"\ntimeout = \"1s\"\nmax_timeout = \"2s\"\n")
	for _, z := range clusterZones {
		fmt.Fprintf(&b, "[[zone]]\nname = %q\nregion = %q\n", z.zone, z.region)
		for i := range testUpstreams {
			name := fmt.Sprintf("up-%s-%d", z.zone, i+1)
			c.startUpstream(name, "1")
			fmt.Fprintf(&b, "[[upstream]]\nname = %q\nservice = \"planning\"\nzone = %q\naddr = %q\nslots = %d\n",
				name, z.zone, name+":1", testSlots)
		}
	}
	return b.String()
}

func (c *cluster) startUpstream(name, instance string) *standin.Upstream {
	u := &standin.Upstream{Name: name, Instance: instance, Slots: testSlots, Latency: testLatency}
	l, err := end{c.net, name}.Listen(name + ":1")
	require.NoError(c.t, err)
	go func() { _ = u.Serve(l) }()
	c.upstreams[name] = u
	c.memory.SetHost(name, platform.Live)
	return u
}

// apply writes a change straight to the log, as another host would.
func (c *cluster) apply(id, doc string, base uint64) {
	d, err := config.ParseDocument([]byte(doc))
	require.NoError(c.t, err)
	change, err := d.Change(id, base)
	require.NoError(c.t, err)
	_, _, err = config.NewLog(c.memory, c.memory).Append(context.Background(), config.NewState(), change)
	require.NoError(c.t, err)
}

// tableOf is the platform as one host reaches it: a cut link to the name
// "platform" makes its calls hang until they time out.
type tableOf struct {
	*platform.Memory
	net  *fakeNet
	name string
}

func (p tableOf) reach(ctx context.Context) error {
	for p.net.isCut(p.name, "platform") {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

func (p tableOf) Get(ctx context.Context, key platform.Key) (platform.Row, error) {
	if err := p.reach(ctx); err != nil {
		return platform.Row{}, err
	}
	return p.Memory.Get(ctx, key)
}

func (p tableOf) Transact(ctx context.Context, writes []platform.Write) error {
	if err := p.reach(ctx); err != nil {
		return err
	}
	return p.Memory.Transact(ctx, writes)
}

func (p tableOf) List(ctx context.Context, partition, after string, limit int) ([]platform.Row, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	return p.Memory.List(ctx, partition, after, limit)
}

func (p tableOf) Hosts(ctx context.Context) ([]platform.HostState, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	return p.Memory.Hosts(ctx)
}

// start starts a host, or a new incarnation of one.
func (c *cluster) start(name, zone, region string) *Host {
	set := settings.Settings{
		Host:    settings.Host{Name: name, Zone: zone, Region: region},
		Callers: settings.Callers{TTL: settings.Seconds(5 * time.Second)},
		Peers:   settings.Peers{Listen: name + ":2", Seeds: []string{"costa-b-1:2"}},
	}
	Prepare(&set)
	table := tableOf{c.memory, c.net, name}
	h, err := New(Options{
		Settings: set, Table: table, Objects: table, Hosts: table, Transport: end{c.net, name},
		DialUpstream: end{c.net, name}.dialUpstream, Log: zerolog.Nop(),
		Traces: sdktrace.NewTracerProvider(sdktrace.WithSampler(sdktrace.NeverSample())), Seed: uint64(len(name)),
	})
	require.NoError(c.t, err)
	require.NoError(c.t, h.Start(context.Background(), name+":3"))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[name] = h
	c.memory.SetHost(name, platform.Live)
	return h
}

// kill ends a host at once; the platform's list says so 3 s later.
func (c *cluster) kill(name string) {
	h := c.host(name)
	c.forget(name)
	h.Close()
	time.AfterFunc(3*time.Second, func() {
		if c.host(name) == nil {
			c.memory.SetHost(name, platform.Gone)
		}
	})
}

// host gives a live host, or nil.
func (c *cluster) host(name string) *Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[name]
}

func (c *cluster) forget(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.hosts, name)
}

func (c *cluster) live() []*Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Host
	for _, z := range clusterZones {
		for i := range z.hosts {
			if h := c.hosts[fmt.Sprintf("%s-%d", z.zone, i+1)]; h != nil {
				out = append(out, h)
			}
		}
	}
	return out
}

// waitSettled waits until the hosts together hold every slot.
func (c *cluster) waitSettled(limit time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < limit {
		if c.held() == c.slots() && c.allReady() {
			return time.Since(began)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return -1
}

func (c *cluster) allReady() bool {
	for _, h := range c.live() {
		if !h.Ready() || len(h.Status().CutOff) > 0 {
			return false
		}
	}
	return true
}

func (c *cluster) slots() int { return len(c.upstreams) * testSlots }

// held sums the slots that the live hosts may use.
func (c *cluster) held() int {
	sum := 0
	for _, h := range c.live() {
		sum += h.serviceFor("planning").gate.Load().Held
	}
	return sum
}

func (c *cluster) closeAll() {
	for _, h := range c.live() {
		h.Close()
	}
	for _, u := range c.upstreams {
		_ = u.Close()
	}
	time.Sleep(time.Minute) // everything that waits has ended by then
}

// over sums the requests that met an upstream without a free slot.
func (c *cluster) over() int {
	sum := 0
	for _, u := range c.upstreams {
		sum += u.Ledger().Over
	}
	return sum
}

// lookup is a request that may be repeated.
func lookup(path string) *call.Request {
	return &call.Request{Service: "planning", Method: http.MethodGet, Target: path, Deadline: time.Now().Add(testTimeout)}
}

// ask sends a request to a host and gives the whole answer.
func ask(h *Host, req *call.Request) (string, error) {
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	a, err := h.Do(ctx, req)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

// counts are what a load got.
type counts struct {
	mu      sync.Mutex
	good    int
	refused int
	doubt   int
	wrong   int
	slowest time.Duration
	slow    int // above slowAfter
	reasons map[verdict.Reason]int
}

// slowAfter is three times a warm upstream's latency.
const slowAfter = 3 * testLatency

// load sends lookups to the live hosts in turn, whatever becomes of them.
func (c *cluster) load(perSecond int, d time.Duration) *counts {
	out := &counts{}
	var wait sync.WaitGroup
	pause := time.Second / time.Duration(perSecond)
	for i := range int(d / pause) {
		hosts := c.live()
		h := hosts[i%len(hosts)]
		wait.Go(func() { out.one(h, fmt.Sprintf("/tracks/%d", i)) })
		time.Sleep(pause)
	}
	wait.Wait()
	return out
}

func (o *counts) one(h *Host, path string) {
	began := time.Now()
	body, err := ask(h, lookup(path))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slowest = max(o.slowest, time.Since(began))
	if err != nil {
		if o.reasons == nil {
			o.reasons = map[verdict.Reason]int{}
		}
		o.reasons[verdict.From(err).Reason]++
	}
	switch {
	case err == nil && !strings.Contains(body, `"path":"`+path+`"`):
		o.wrong++
	case err == nil:
		o.good++
		if time.Since(began) > slowAfter {
			o.slow++
		}
	case verdict.From(err).Verdict == verdict.NotRun:
		o.refused++
	default:
		o.doubt++
	}
}
