package soak

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/cmd"
)

// TestMain is also the gateway process itself.
func TestMain(m *testing.M) {
	if os.Getenv(childVar) != "" {
		os.Exit(cmd.Run())
	}
	os.Exit(m.Run())
}

const (
	// defaultHosts is how many hosts a run has unless SOAK_HOSTS says so.
	defaultHosts = 5
	// defaultSeconds is how long each of a run's two phases injects faults,
	// unless SOAK_LENGTH says so.
	defaultSeconds = 6
	// defaultSeed is the first seed unless SOAK_FIRST says so.
	defaultSeed = 20261202
)

// TestSoak plays a short seeded run; SOAK_SEEDS=50 plays as many fresh seeds
// (SOAK_FIRST on), SOAK_HOSTS sets the hosts and SOAK_LENGTH the seconds of
// each of its two phases.
func TestSoak(t *testing.T) {
	t.Parallel()
	seeds, first := number("SOAK_SEEDS", 1), number("SOAK_FIRST", defaultSeed)
	hosts, length := number("SOAK_HOSTS", defaultHosts), time.Duration(number("SOAK_LENGTH", defaultSeconds))*time.Second
	for i := range seeds {
		seed := uint64(first + i)
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			require.Empty(t, run(t, seed, hosts, length))
		})
	}
}

// failedSeeds are the seeds that ever failed, each with its cause.
var failedSeeds = map[uint64]string{
	79:    "a reload that came while a host read its settings ended the process: it now asks for the signal first",
	78:    "not the product: a host's port was taken by an outgoing connection while it was down, and the harness did not start it again",
	1015:  "not the product: the harness asked for version 0, which never was",
	31028: "cut: a host closed kept connections for idleness, and passed on requests that it had just read from them",
	31034: "not the product: a host was stopped while it still started, which took 4 s on a busy machine, and had to be killed",
	90041: "overrun on a machine with a load of 95, which code from before does as well; what holds the process was not traced",
	53116: "not the product: a host was sent SIGHUP before it had a handler, more than 0.3 s after its start on a busy machine",
	53117: "overrun beside a load of 120: a host was killed 6 s after its last line, as in 90041; not traced",
	53128: "overrun, and requests cut by the kill, beside a load of 120; not traced",
	56003: "overruns beside a load above 100: the hosts had no processor time for up to 9 s at once, as their lines tell",
	56009: "overruns beside a load above 100: the hosts had no processor time for up to 25 s at once, as their lines tell",
	56013: "overruns, and a request cut by a kill, beside a load above 100: the hosts had no processor time for up to 7 s at once, as their lines tell",
	96049: "overrun beside a load of 41, as in 90041; not traced",
	88047: "not the product: under load the harness took a planned stop for an exit of the host's own, and started it twice",
	51022: "a response that came when its deadline and the bound on writing it had passed was not written, and the connection closed: the bound counts from then now",
}

// TestSoakFailedSeeds plays the seeds that failed before.
func TestSoakFailedSeeds(t *testing.T) {
	t.Parallel()
	for seed, cause := range failedSeeds {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			t.Log("failed once: " + cause)
			require.Empty(t, run(t, seed, defaultHosts, defaultSeconds*time.Second))
		})
	}
}

// number reads a variable of the environment; one that is no number counts as
// not set.
func number(variable string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return fallback
}

const (
	// plannedGap is the mean time between faults while only planned work is
	// injected, and allGap while everything is. Chosen so that faults overlap.
	plannedGap = 600 * time.Millisecond
	// allGap is shorter than plannedGap, so that more faults overlap.
	allGap = 400 * time.Millisecond
)

// run plays one seed and gives the violations.
func run(t *testing.T, seed uint64, hosts int, length time.Duration) []string {
	t.Helper()
	w := newWorld(t, seed, hosts)
	w.startHosts(10 * time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	wait := w.startTraffic(ctx)
	wait.Go(func() { w.watchMemory(ctx, cancel) })
	time.Sleep(settleTime) // so that all hosts count as calm
	noticesCtx, stopNotices := context.WithCancel(ctx)
	defer stopNotices()
	var noticesDone sync.WaitGroup
	noticesDone.Go(func() { w.injectNotices(noticesCtx) })
	w.phase(ctx, "planned", plannedFaults, length, plannedGap)
	entries, endEntries := context.WithCancel(ctx)
	var disrupting sync.WaitGroup
	disrupting.Go(func() { w.disruptEntries(entries) })
	w.phase(ctx, "all", slices.Concat(plannedFaults, unplannedFaults), length, allGap)
	endEntries()
	stopNotices()
	disrupting.Wait()
	noticesDone.Wait()
	w.checkRecovery()
	w.writeArtifact(logsVar, ".heap", w.writeHeapProfile) // of a host under load
	cancel()
	wait.Wait()
	time.Sleep(500 * time.Millisecond) // what still runs must not run later either
	w.checkLedger()
	w.checkCuts()
	w.checkCold()
	w.checkLimit()
	w.checkNotices()
	ends := w.record.totals()
	w.writeArtifact(reportVar, ".html", w.record.writePage)
	t.Logf("seed %d: %d served, %d refused, %d closed, %d failed, %d violations",
		seed, ends[served], ends[refused], ends[closed], ends[failed], len(w.violations))
	if len(w.violations) > 0 {
		w.writeLogs()
	}
	return w.violations
}

// startTraffic starts the clients and the checks beside them, until the context
// ends.
func (w *world) startTraffic(ctx context.Context) *sync.WaitGroup {
	var wait sync.WaitGroup
	for i := range directoryClients {
		wait.Go(func() { w.newClient(fmt.Sprint("roaming-", i)).runDirectoryClient(ctx) })
	}
	for i := range w.persistentClients() {
		wait.Go(func() {
			w.newClient(fmt.Sprint("clinging-", i)).runPersistentClient(ctx, w.hosts[i%len(w.hosts)].clients)
		})
	}
	for _, h := range w.hosts {
		wait.Go(func() { w.watchVersions(ctx, h) })
		wait.Go(func() { w.watchKeys(ctx, h) })
	}
	for i := range limitedClients {
		wait.Go(func() { w.newClient(fmt.Sprint("limited-", i)).sendAboveLimit(ctx) })
	}
	wait.Go(func() { w.recordAlive(ctx) })
	return &wait
}

// phase injects faults of some kinds for a time or until the context ends,
// several at once, and waits until the last is over.
func (w *world) phase(ctx context.Context, name string, kinds []fault, length, gap time.Duration) {
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for time.Now().Before(end) && ctx.Err() == nil {
		f := kinds[w.intN(len(kinds))]
		w.t.Logf("seed %d, %s: %s", w.seed, name, f.name)
		wait.Go(func() {
			began := time.Now()
			f.run(w)
			w.record.fault(began, f.name)
		})
		time.Sleep(w.randomDuration(gap/2, 3*gap/2))
	}
	wait.Wait()
}
