package soak

import (
	"context"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Sizes of runs. The default size is small. Larger runs are started manually and are
// limited, so that other work on the machine can continue.
const (
	// maxHosts is the maximum number of hosts.
	maxHosts = 300
	// maxMemoryFraction is the maximum fraction of the machine's memory for the hosts of
	// all runs in the test process.
	maxMemoryFraction = 0.5
	// startBatch is the number of hosts that start at a time.
	startBatch = 10
	// maxPersistentClients is the maximum number of persistent clients. There is always
	// at least one for each host.
	maxPersistentClients = 160
	// minProbeInterval is the minimum interval between two probes of a host. With many
	// hosts the interval is longer, so that any two probes are meanProbeGap apart on
	// average.
	minProbeInterval = 60 * time.Millisecond
	meanProbeGap     = 4 * time.Millisecond
)

// startHosts starts all hosts in batches, and waits until they serve requests.
func (w *world) startHosts(timeout time.Duration) {
	require.LessOrEqual(w.t, len(w.hosts), maxHosts, "SOAK_HOSTS is too high")
	for i, h := range w.hosts {
		h.start()
		w.t.Cleanup(h.kill)
		if i%startBatch == startBatch-1 {
			w.awaitHost(h, timeout)
		}
	}
	w.awaitService(timeout)
}

// persistentClients returns the number of persistent clients.
func (w *world) persistentClients() int {
	return max(len(w.hosts), min(maxPersistentClients, persistentClientsPerHost*len(w.hosts)))
}

// probeInterval returns the interval between two probes of a host.
func (w *world) probeInterval() time.Duration {
	return max(minProbeInterval, time.Duration(len(w.hosts))*meanProbeGap)
}

// hostMemory is the memory of the hosts of all runs, in bytes.
var hostMemory atomic.Int64

// watchMemory ends the run with a violation when the hosts of all runs exceed
// maxMemoryFraction of the machine's memory. It logs the peak memory of this run's
// hosts.
func (w *world) watchMemory(ctx context.Context, cancel context.CancelFunc) {
	var now, peak int64
	defer func() {
		hostMemory.Add(-now)
		w.t.Logf("seed %d: %d hosts used at most %d MiB", w.seed, len(w.hosts), peak>>20)
	}()
	limit := int64(maxMemoryFraction * float64(machineMemory(w.t)))
	for ctx.Err() == nil {
		previous := now
		now = w.residentMemory()
		peak = max(peak, now)
		if all := hostMemory.Add(now - previous); all > limit {
			w.violation("size: hosts use %d MiB, more than the limit of %d MiB", all>>20, limit>>20)
			cancel()
		}
		time.Sleep(time.Second)
	}
}

// residentMemory returns the resident memory of the run's hosts, in bytes.
func (w *world) residentMemory() (sum int64) {
	for _, h := range w.hosts {
		sum += h.residentMemory()
	}
	return sum
}

// residentMemory returns the resident memory of the host's process, in bytes, or 0 if it has ended.
func (h *host) residentMemory() int64 {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64) // the number of pages in memory
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// machineMemory returns the machine's memory, in bytes.
func machineMemory(t *testing.T) uint64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		t.Errorf("size of memory: %v", err)
	}
	return info.Totalram * uint64(info.Unit)
}
