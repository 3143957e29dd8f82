package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/platform/platformtest"
)

// fault is one disruption; it returns when it is over.
type fault struct {
	name string
	run  func(w *world)
}

// planned are what operators do on an ordinary day.
var planned = []fault{
	{"stop a host", (*world).stopHost},
	{"reload a host", (*world).reloadHost},
	{"change the configuration", (*world).changeConfig},
	{"drain an upstream", (*world).drainUpstream},
	{"evacuate a zone", (*world).evacuateZone},
}

// unplanned are what goes wrong.
var unplanned = []fault{
	{"kill a host", (*world).killHost},
	{"pause a host", (*world).pauseHost},
	{"cut a host from the store", (*world).cutHost},
	{"harm the store", (*world).harmStore},
	{"crash an upstream", (*world).crashUpstream},
	{"spoil an upstream", (*world).spoilUpstream},
	{"harm an upstream's link", (*world).harmLink},
}

func (w *world) anyHost() *host { return w.hosts[w.intN(len(w.hosts))] }

func (w *world) intN(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rand.IntN(n)
}

// between gives a time from a to b.
func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.intN(int((b-a)/time.Millisecond)))*time.Millisecond
}

func (w *world) stopHost() {
	h := w.anyHost()
	if !h.ending.TryLock() {
		return
	}
	defer h.ending.Unlock()
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.want(true)
	h.signal(syscall.SIGTERM)
	h.wait(8 * time.Second)
	h.want(false)
	h.start()
}

// reloadHost passes over a host that has just started: until a process has
// asked for the signal the kernel ends it by default, which no program can
// prevent for the first milliseconds of its life.
func (w *world) reloadHost() {
	h := w.anyHost()
	h.mu.Lock()
	young := time.Since(h.startedAt) < 300*time.Millisecond
	h.mu.Unlock()
	if !young {
		h.signal(syscall.SIGHUP)
	}
}

func (w *world) changeConfig() {
	w.configure()
	time.Sleep(w.between(20*time.Millisecond, time.Second))
}

// takeUpstream takes one out of the living, unless too few would be left.
func (w *world) takeUpstream() *upstream {
	w.mu.Lock()
	few := len(w.order) < 6
	w.mu.Unlock()
	if few {
		return nil
	}
	u := w.anyUpstream()
	w.remove(u)
	return u
}

func (w *world) drainUpstream() {
	u := w.takeUpstream()
	if u == nil {
		return
	}
	w.addUpstream(u.zone)
	w.store.Put("servers", u.id, u.row("draining"))
	u.noWorkFrom.Store(time.Now().Add(drainIn + slackIn).UnixNano())
	time.Sleep(drainIn + 2*time.Second)
	w.store.Delete("servers", u.id)
	u.end()
}

func (w *world) evacuateZone() {
	zone := []string{"west-1", "west-2", "east-1"}[w.intN(3)]
	w.mu.Lock()
	busy := len(w.evacuated) > 0
	w.evacuated[zone] = true
	w.mu.Unlock()
	if busy {
		return
	}
	w.store.Put("op", "evacuate/"+zone, map[string]any{})
	time.Sleep(evacuateIn + slackIn)
	time.Sleep(w.between(time.Second, 2*time.Second))
	w.store.Delete("op", "evacuate/"+zone)
	w.mu.Lock()
	clear(w.evacuated)
	w.mu.Unlock()
}

func (w *world) killHost() {
	h := w.anyHost()
	if !h.ending.TryLock() {
		return
	}
	defer h.ending.Unlock()
	healed := h.harm()
	defer healed()
	h.end()
	time.Sleep(w.between(50*time.Millisecond, 2*time.Second))
	h.want(false)
	h.start()
}

func (w *world) pauseHost() {
	h := w.anyHost()
	healed := h.harm()
	defer healed()
	h.signal(syscall.SIGSTOP)
	time.Sleep(w.between(200*time.Millisecond, 3*time.Second))
	h.signal(syscall.SIGCONT)
}

func (w *world) cutHost() {
	h := w.anyHost()
	healed := h.harm()
	defer healed()
	h.store.set([]mode{silence, oneWay, refuse, delay}[w.intN(4)])
	time.Sleep(w.between(500*time.Millisecond, 4*time.Second))
	h.store.set(pass)
}

func (w *world) harmStore() {
	w.mu.Lock()
	w.storeHarms++
	w.mu.Unlock()
	faults := []platformtest.Faults{
		{Status: http.StatusServiceUnavailable}, {Status: http.StatusTooManyRequests}, {Silent: true}, {Reset: true},
		{LoseAnswers: true, Late: time.Second}, {Slow: 300 * time.Millisecond}, {DeafFeeds: true},
	}
	f := faults[w.intN(len(faults))]
	w.store.SetFaults(f)
	time.Sleep(w.between(500*time.Millisecond, 4*time.Second))
	if f.DeafFeeds || w.intN(3) == 0 {
		w.store.Forget()
	}
	w.store.SetFaults(platformtest.Faults{})
	w.mu.Lock()
	w.storeHarms--
	w.storeHarm = time.Now()
	w.mu.Unlock()
}

func (w *world) crashUpstream() {
	u := w.takeUpstream()
	if u == nil {
		return
	}
	u.end()
	time.Sleep(w.between(100*time.Millisecond, 3*time.Second))
	w.store.Delete("servers", u.id)
	w.addUpstream(u.zone)
}

func (w *world) spoilUpstream() {
	u := w.anyUpstream()
	u.spoiled.Store(int32(1 + w.intN(int(spoils)-1)))
	time.Sleep(w.between(500*time.Millisecond, 3*time.Second))
	u.spoiled.Store(int32(sound))
}

func (w *world) harmLink() {
	u := w.anyUpstream()
	u.link.set([]mode{silence, oneWay, refuse, delay}[w.intN(4)])
	time.Sleep(w.between(500*time.Millisecond, 3*time.Second))
	u.link.set(pass)
}

// phase injects faults of some kinds for a time, several at once, and waits
// until the last is over.
func (w *world) phase(name string, kinds []fault, length time.Duration, gap time.Duration) {
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		f := kinds[w.intN(len(kinds))]
		w.t.Logf("seed %d, %s: %s", w.seed, name, f.name)
		wait.Add(1)
		go func() {
			defer wait.Done()
			began := time.Now()
			f.run(w)
			w.record.Fault(began, f.name)
		}()
		time.Sleep(w.between(gap/2, 3*gap/2))
	}
	wait.Wait()
}

// run plays one seed and gives what broke.
func run(t *testing.T, seed uint64, hosts int, length time.Duration) []string {
	t.Helper()
	w := newWorld(t, seed, hosts)
	w.awaitService(10 * time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for i := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			w.client(ctx, i)
		}()
	}
	for _, h := range w.hosts {
		wait.Add(1)
		go func() {
			defer wait.Done()
			w.watchVersions(ctx, h)
		}()
	}
	wait.Add(1)
	go func() {
		defer wait.Done()
		w.countAlive(ctx)
	}()
	time.Sleep(touch) // so that all hosts are calm
	w.phase("planned", planned, length, 600*time.Millisecond)
	w.phase("all", append(append([]fault{}, planned...), unplanned...), length, 400*time.Millisecond)
	w.awaitService(15 * time.Second)
	w.mu.Lock()
	before := w.served
	w.mu.Unlock()
	time.Sleep(time.Second)
	w.mu.Lock()
	after, failed := w.served, w.failed
	w.mu.Unlock()
	if after-before < 20 {
		w.breach("recovery: only %d requests were served in the second after all faults", after-before)
	}
	w.profile()
	cancel()
	wait.Wait()
	time.Sleep(500 * time.Millisecond) // what still runs must not run later either
	w.settle()
	w.report()
	t.Logf("seed %d: %d served, %d not, %d broken promises", seed, after, failed, len(w.breaches))
	if len(w.breaches) > 0 {
		for _, h := range w.hosts {
			h.end()
			keep(t, seed, h)
		}
	}
	return w.breaches
}

// countAlive notes once a second how many hosts and upstreams run.
func (w *world) countAlive(ctx context.Context) {
	for ctx.Err() == nil {
		alive := 0
		for _, h := range w.hosts {
			if h.running() {
				alive++
			}
		}
		w.mu.Lock()
		upstreams := len(w.order)
		w.mu.Unlock()
		w.record.Alive(alive, upstreams)
		time.Sleep(time.Second)
	}
}

// report writes the run as a page into the folder of SOAK_REPORT.
func (w *world) report() {
	dir := os.Getenv("SOAK_REPORT")
	if dir == "" {
		return
	}
	f, err := os.Create(fmt.Sprintf("%s/seed-%d.html", dir, w.seed))
	if err != nil {
		w.t.Log(err)
		return
	}
	if err := errors.Join(w.record.Write(f), f.Close()); err != nil {
		w.t.Log(err)
	}
}

// profile keeps a heap profile of a host under load.
func (w *world) profile() {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return
	}
	resp, err := http.Get("http://" + w.hosts[0].metrics + "/debug/pprof/heap?gc=1")
	if err != nil {
		w.t.Log(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err == nil {
		err = os.WriteFile(fmt.Sprintf("%s/seed-%d.heap", dir, w.seed), text, 0o600)
	}
	if err != nil {
		w.t.Log(err)
	}
}

// keep writes a host's log where it outlives the run.
func keep(t *testing.T, seed uint64, h *host) {
	dir := os.Getenv("SOAK_LOGS")
	if dir == "" {
		return
	}
	path := fmt.Sprintf("%s/seed-%d-%s.log", dir, seed, h.name)
	if err := os.WriteFile(path, h.log.Bytes(), 0o600); err != nil {
		t.Log(err)
	}
}

// awaitService waits until every host serves.
func (w *world) awaitService(most time.Duration) {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, h := range w.hosts {
		ok := func() bool { return w.probe(c, h, 1) == http.StatusOK }
		end := time.Now().Add(most)
		for !ok() {
			if time.Now().After(end) {
				w.breach("recovery: %s does not serve", h.name)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// failedSeeds are those that ever broke a promise, each with its cause.
var failedSeeds = map[uint64]string{
	79:    "a reload that came while a host read its settings ended the process: it now asks for the signal first",
	78:    "not the product: a host's port was taken by an outgoing connection while it was down, and the harness did not start it again",
	1015:  "not the product: the harness asked for version 0, which never was",
	88047: "not the product: under load the harness took a planned stop for an exit of the host's own, and started it twice",
}

// TestSoak plays a short seeded run; SOAK_SEEDS=50 plays as many fresh seeds
// (SOAK_FIRST on), SOAK_HOSTS sets the hosts and SOAK_LENGTH the seconds of
// each of its two phases.
func TestSoak(t *testing.T) {
	seeds, first := number("SOAK_SEEDS", 1), number("SOAK_FIRST", 20261202)
	hosts, length := number("SOAK_HOSTS", 5), time.Duration(number("SOAK_LENGTH", 6))*time.Second
	for i := range seeds {
		seed := uint64(first + i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			require.Empty(t, run(t, seed, hosts, length))
		})
	}
}

// TestSoakFailedSeeds plays the seeds that failed before.
func TestSoakFailedSeeds(t *testing.T) {
	for seed, cause := range failedSeeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			t.Log("failed once: " + cause)
			require.Empty(t, run(t, seed, 5, 6*time.Second))
		})
	}
}

func number(variable string, standard int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return standard
}
