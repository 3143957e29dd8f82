package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// childVar marks a process of this test binary that is a gateway host.
const childVar = "CAIRNDOCK_SOAK_CHILD"

// host is one gateway process and its link to the store.
type host struct {
	t         *testing.T
	name      string
	zone      string
	settings  string
	callers   string
	directory string
	readiness string
	metrics   string
	store     *proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	log *bytes.Buffer
	// life counts the processes. startedAt is when the last one started, and
	// harmedAt when a fault last ended on it; zero time while one is on.
	life      int
	startedAt time.Time
	harms     int
	harmedAt  time.Time
	stopping  bool
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

const settingsText = `seeds = []
[host]
name = %q
zone = %q
region = %q
[listen]
callers = %q
readiness = %q
directory = %q
peers = %q
metrics = %q
[store]
address = %q
[zones]
west-1 = "west"
west-2 = "west"
east-1 = "east"
[limits]
retry_ratio = 0.2
retry_window = "10s"
retry_slack = 58.0
warm_up_overshoot = 1.5
warm_up_slack = 5.0
apply_within = "2s"
drain_within = "2s"
directory_ttl = "1s"
[stop]
grace = "4s"
`

func newHost(t *testing.T, name, zone, region, store string) *host {
	t.Helper()
	h := &host{t: t, name: name, zone: zone, store: newProxy(t, store), log: &bytes.Buffer{}}
	h.callers, h.directory, h.readiness, h.metrics = freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	h.settings = filepath.Join(t.TempDir(), name+".toml")
	text := fmt.Sprintf(settingsText, name, zone, region, h.callers, h.readiness, h.directory, freeAddress(t), h.metrics, h.store.address())
	require.NoError(t, os.WriteFile(h.settings, []byte(text), 0o600))
	return h
}

// start starts the host's process.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(os.Args[0], "gateway", "--settings", h.settings)
	cmd.Env = append(os.Environ(), childVar+"=1")
	cmd.Stdout, cmd.Stderr = h.log, h.log
	require.NoError(h.t, cmd.Start())
	h.cmd, h.life, h.startedAt, h.stopping = cmd, h.life+1, time.Now(), false
}

// signal sends a signal to the host's own process only.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

// wait waits for the process to end, and kills it after a time.
func (h *host) wait(most time.Duration) {
	h.mu.Lock()
	cmd := h.cmd
	h.mu.Unlock()
	timer := time.AfterFunc(most, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	_ = cmd.Wait()
}

// harm marks the host as disturbed until the function given is called.
func (h *host) harm() (healed func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.harms++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.harms--
		h.harmedAt = time.Now()
	}
}

// touch is how long a host must have been undisturbed for rules bound by
// time to hold on it.
const touch = 4 * time.Second

// calm reports whether rules bound by time hold on the host.
func (h *host) calm() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.harms == 0 && !h.stopping && time.Since(h.harmedAt) > touch && time.Since(h.startedAt) > touch
}

func (h *host) lifeNumber() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}
