package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"cairndock/platform/platformtest"
)

// zone is an availability zone of the small deployment.
type zone struct{ name, region string }

// zones are the zones of the deployment, in the order in which hosts and servers are placed.
var zones = []zone{{"gebze-a", "marmara"}, {"izmir-a", "ege"}, {"tuzla-b", "marmara"}}

// settingsText is the settings file of a host: deploy/gateway.toml.tmpl filled with the bounds of
// a small deployment.
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
"gebze-a" = "marmara"
"izmir-a" = "ege"
"tuzla-b" = "marmara"
[resources]
cores = 0.32
bandwidth_mbps = 1000.0
[limits]
retry_ratio = 0.2
retry_window = "10s"
retry_slack = 58
warm_up_overshoot = 1.5
warm_up_slack = 5
apply_within = %q
drain_within = %q
evacuate_within = %q
[stop]
grace = %q
`

// bounds are the bounds of a deployment that differ between the cases.
type bounds struct{ apply, drain, evacuate, grace time.Duration }

// smallBounds are those of renkoda-mix, and fleetBounds those of cacf-ruteo-fleet.
var (
	smallBounds = bounds{2 * time.Second, 2 * time.Second, 5 * time.Second, 6 * time.Second}
	fleetBounds = bounds{5 * time.Second, 5 * time.Second, 6 * time.Second, 10 * time.Second}
)

// platform is the stand-in of the users' platform: the store and the host processes.
type platform struct {
	record *record
	store  *platformtest.Store
	// storeAddress is the address at which the store listens.
	storeAddress string
	folder       string
	hosts        []*host
}

// host is one gateway process, which the platform starts again when it has ended.
type host struct {
	name, clients, readiness string
	settings                 string
	record                   *record

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	// ended is closed when the current process has ended.
	ended chan struct{}
	// maxMemory is the highest resident memory of its processes, in bytes.
	maxMemory int64
	// ends counts the processes that ended before the case did.
	ends int
}

const (
	// firstPort and portCount are the ports of hosts. They are below the ports of outgoing
	// connections, which could take a host's port while the host is down.
	firstPort = 20000
	portCount = 12000
)

// freeAddress returns a loopback address with a port that nobody uses.
func freeAddress() (string, error) {
	var last error
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
		last = err
	}
	return "", last
}

// newPlatform starts the store.
func newPlatform(r *record) (*platform, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{record: r, store: platformtest.NewStore(), storeAddress: l.Addr().String(), folder: folder}
	go func() { _ = http.Serve(l, p.store) }()
	return p, nil
}

// addHosts writes the settings of a number of hosts.
func (p *platform) addHosts(n int, b bounds) error {
	for i := range n {
		h, err := p.newHost(i, b)
		if err != nil {
			return err
		}
		p.hosts = append(p.hosts, h)
	}
	return nil
}

func (p *platform) newHost(i int, b bounds) (*host, error) {
	z := zones[i%len(zones)]
	var addresses [5]string
	for j := range addresses {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[j] = a
	}
	name := fmt.Sprintf("edge-%s-%d", z.name, i)
	h := &host{name: name, clients: addresses[0], readiness: addresses[1], settings: filepath.Join(p.folder, name+".toml"), record: p.record}
	text := fmt.Sprintf(settingsText, name, z.name, z.region, addresses[0], addresses[1], addresses[2], addresses[3], addresses[4], p.storeAddress,
		b.apply.String(), b.drain.String(), b.evacuate.String(), b.grace.String())
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the host's process with the command of the deploy file.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopping {
		return nil
	}
	h.cmd = exec.Command("target/cairndock", "gateway", "--settings", h.settings)
	if err := h.cmd.Start(); err != nil {
		h.cmd = nil
		return err
	}
	h.ended = make(chan struct{})
	go h.supervise(h.cmd, h.ended)
	return nil
}

// supervise starts the next process when one has ended.
func (h *host) supervise(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	close(ended)
	h.mu.Lock()
	stopping := h.stopping
	if !stopping {
		h.ends++
	}
	h.mu.Unlock()
	if stopping {
		return
	}
	h.record.printf("%s ended: %v", h.name, err)
	time.Sleep(300 * time.Millisecond)
	if err := h.start(); err != nil {
		h.record.printf("%s does not start: %v", h.name, err)
	}
}

// limitMemory kills a process of the host whose resident memory exceeds a limit, as the platform
// does.
func (h *host) limitMemory(limit int64) {
	for range time.Tick(10 * time.Millisecond) {
		h.mu.Lock()
		process := h.cmd.Process
		stopping := h.stopping
		used := residentMemory(process.Pid)
		h.maxMemory = max(h.maxMemory, used)
		h.mu.Unlock()
		if stopping {
			return
		}
		if used > limit {
			h.record.printf("%s has %d MB, more than its limit of %d MB: the platform kills it", h.name, used>>20, limit>>20)
			_ = process.Kill()
			time.Sleep(500 * time.Millisecond)
		}
	}
}

// residentMemory returns the resident memory of a process in bytes; 0 if it has ended.
func residentMemory(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if rest, ok := strings.CutPrefix(string(line), "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + h.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// startHosts starts all hosts and waits until they are ready.
func (p *platform) startHosts() error {
	for _, h := range p.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range p.hosts {
		if !h.awaitReady(20 * time.Second) {
			return fmt.Errorf("%s is not ready", h.name)
		}
	}
	return nil
}

// close ends all processes and removes the folder with the settings.
func (p *platform) close() {
	for _, h := range p.hosts {
		h.end()
	}
	_ = os.RemoveAll(p.folder)
}

// end ends the host's process and waits for its end.
func (h *host) end() {
	h.mu.Lock()
	h.stopping = true
	cmd, ended := h.cmd, h.ended
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // an error means that it has ended
	<-ended
}
