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

// Sizes of runs. The standard one is small; larger ones are played by hand, and
// bounded so that they leave the machine room.
const (
	// maxHosts is the highest number of hosts.
	maxHosts = 300
	// maxMemoryFraction is the part of the machine's memory that the hosts of all runs
	// of the test process may have together.
	maxMemoryFraction = 0.5
	// startBatch is how many hosts start at a time.
	startBatch = 10
	// maxPersistentClients is how many clinging clients there are at most, but no fewer
	// than hosts.
	maxPersistentClients = 160
	// minProbeInterval is how often a host's version is probed, and meanProbeGap the
	// time between any two probes, on average, if that is longer.
	minProbeInterval = 60 * time.Millisecond
	meanProbeGap     = 4 * time.Millisecond
)

// startHosts starts all hosts, some at a time, and waits until they serve.
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

// clinging is how many clinging clients there are.
func (w *world) persistentClients() int {
	return max(len(w.hosts), min(maxPersistentClients, persistentClientsPerHost*len(w.hosts)))
}

// probeInterval is how often each host is probed.
func (w *world) probeInterval() time.Duration {
	return max(minProbeInterval, time.Duration(len(w.hosts))*meanProbeGap)
}

// hostMemory is the memory of the hosts of all runs, in bytes.
var hostMemory atomic.Int64

// watchMemory ends the run, with a violation, once hosts have more than
// maxMemoryFraction of the machine's memory, and logs the most that this run's had.
func (w *world) watchMemory(ctx context.Context, cancel context.CancelFunc) {
	var now, peak int64
	defer func() {
		hostMemory.Add(-now)
		w.t.Logf("seed %d: %d hosts had %d MiB at most", w.seed, len(w.hosts), peak>>20)
	}()
	limit := int64(maxMemoryFraction * float64(machineMemory(w.t)))
	for ctx.Err() == nil {
		previous := now
		now = w.residentMemory()
		peak = max(peak, now)
		if all := hostMemory.Add(now - previous); all > limit {
			w.violation("size: hosts have %d MiB, more than the %d MiB that they may have", all>>20, limit>>20)
			cancel()
		}
		time.Sleep(time.Second)
	}
}

// residentMemory is the memory of the run's hosts, in bytes.
func (w *world) residentMemory() (sum int64) {
	for _, h := range w.hosts {
		h.mu.Lock()
		pid := h.cmd.Process.Pid
		h.mu.Unlock()
		text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
		if err != nil {
			continue // it has just ended
		}
		// The second field is the number of pages in memory.
		if fields := strings.Fields(string(text)); len(fields) > 1 {
			if pages, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
				sum += pages * int64(os.Getpagesize())
			}
		}
	}
	return sum
}

// machineMemory is the machine's memory in bytes.
func machineMemory(t *testing.T) uint64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		t.Errorf("size of memory: %v", err)
	}
	return info.Totalram * uint64(info.Unit)
}
