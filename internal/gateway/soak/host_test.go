package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
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

	// ending is held by whoever ends the process and starts the next.
	ending sync.Mutex

	breach func(format string, args ...any)

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process is gone, and wanted says that it may.
	ended  chan struct{}
	wanted bool
	log    *bytes.Buffer
	// life counts the processes. startedAt is when the last one started, and
	// harmedAt when a fault last ended on it; zero time while one is on.
	life      int
	startedAt time.Time
	harms     int
	harmedAt  time.Time
	stopping  bool
}

// nextPort gives ports below those of outgoing connections, which could take
// a host's port while it is down.
var nextPort atomic.Int32

const (
	firstPort = 20000
	lastPort  = 32000
)

func freeAddress(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1)-1+int32(os.Getpid()*97))%(lastPort-firstPort)
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
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

func newHost(t *testing.T, breach func(string, ...any), name, zone, region, store string) *host {
	t.Helper()
	h := &host{t: t, breach: breach, name: name, zone: zone, store: newProxy(t, store), log: &bytes.Buffer{}}
	h.callers, h.directory, h.readiness, h.metrics = freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	h.settings = filepath.Join(t.TempDir(), name+".toml")
	text := fmt.Sprintf(settingsText, name, zone, region, h.callers, h.readiness, h.directory, freeAddress(t), h.metrics, h.store.address())
	require.NoError(t, os.WriteFile(h.settings, []byte(text), 0o600))
	return h
}

// start starts the host's process, and again if it ends by itself, as the
// platform does; that it did is a broken promise.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(os.Args[0], "gateway", "--settings", h.settings)
	cmd.Env = append(os.Environ(), childVar+"=1")
	cmd.Stdout, cmd.Stderr = h.log, h.log
	require.NoError(h.t, cmd.Start())
	h.cmd, h.life, h.startedAt, h.stopping, h.ended = cmd, h.life+1, time.Now(), false, make(chan struct{})
	go h.supervise(cmd, h.ended)
}

func (h *host) supervise(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	// Before anybody is told: whoever ended it then starts the next.
	h.mu.Lock()
	wanted := h.wanted
	h.mu.Unlock()
	close(ended)
	if wanted {
		return
	}
	h.breach("exit: %s ended by itself: %v", h.name, err)
	time.Sleep(100 * time.Millisecond)
	h.start()
}

// want says whether the process is to end now.
func (h *host) want(end bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wanted = end
}

// end kills the process for good.
func (h *host) end() {
	h.want(true)
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGKILL)
	h.wait(time.Second)
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
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	timer := time.AfterFunc(most, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	<-ended
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

// running reports whether the host's process runs.
func (h *host) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

func (h *host) lifeNumber() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}
