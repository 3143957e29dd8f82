package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cairndock/platform/platformtest"
)

// record is the file record.txt of a case. Each line begins with the time since the start of the
// case in seconds.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddress returns a loopback address that nobody listens at. Its IP address is not the one from
// which connections are made, so that none of them takes its port meanwhile.
func freeAddress() string {
	ip := net.IPv4(127, byte(1+rand.IntN(250)), byte(rand.IntN(250)), byte(1+rand.IntN(250)))
	l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// serve serves a handler at a free loopback address until the process ends.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// hostSettings is what the template of the deploy file gives for a host of a small deployment,
// with the bounds of the site renkoda-mix.
const hostSettings = `seeds = [%s]
%s[host]
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
"tuzla-b" = "marmara"
[resources]
cores = 0.32
bandwidth_mbps = 1000.0
memory_mb = 284
descriptors = 4100
[limits]
retry_ratio = 0.2
retry_window = "10s"
retry_slack = 58
warm_up_overshoot = 1.5
warm_up_slack = 5
apply_within = "2000ms"
drain_within = "2000ms"
evacuate_within = "5000ms"
quota_window = "5s"
quota_overshoot = 0.1
quota_slack = 20
[stop]
grace = "6s"
`

// grace is the platform's grace_period_s.
const grace = 6 * time.Second

// host is one process of the project, started as the deploy file says.
type host struct {
	name, callers, readiness, directory, peers, settings string

	cmd   *exec.Cmd
	ended chan struct{}
}

// newHost writes the settings of a host.
func newHost(dir, name, zone, region, store string, first bool, seeds ...string) (*host, error) {
	h := &host{name: name, callers: freeAddress(), readiness: freeAddress(), directory: freeAddress(), peers: freeAddress(), settings: filepath.Join(dir, name+".toml")}
	var quoted []string
	for _, s := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", s))
	}
	start := ""
	if first {
		start = "first_start = true\n"
	}
	text := fmt.Sprintf(hostSettings, strings.Join(quoted, ", "), start, name, zone, region, h.callers, h.readiness, h.directory, h.peers, freeAddress(), store)
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process; its log goes to a file beside its settings.
func (h *host) start() error {
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command("target/cairndock", "gateway", "--settings", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	// The process ends with this one, whatever ends it.
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := h.cmd, make(chan struct{})
	h.ended = ended
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// awaitReady waits for the readiness check to succeed.
func (h *host) awaitReady(limit time.Duration) error {
	c := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := c.Get("http://" + h.readiness + "/-/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	log, _ := os.ReadFile(h.settings + ".log")
	return fmt.Errorf("%s was not ready within %s; its log ends with %s", h.name, limit, log[max(0, len(log)-2000):])
}

// platform starts the stand-in for the platform's store, which is the project's own.
func platform() (*platformtest.Store, string) {
	s := platformtest.NewStore()
	return s, serve(s)
}
