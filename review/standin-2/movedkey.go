package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cairndock/platform/platformtest"
)

const (
	// movedBytes is the size of a body that arrives over movedTime, within the timeout of the
	// route, movedTimeout.
	movedBytes   = 64 << 10
	movedTime    = 6 * time.Second
	movedParts   = 60
	movedTimeout = 9 * time.Second
	movedCount   = 6
	// applyTime is config_apply_ms of the deployment.
	applyTime = 3 * time.Second
)

// accountRun is what a server has seen of a request.
type accountRun struct {
	at      time.Time
	account string
}

// movedKey: a version of the configuration moves a key to another tenant while requests with it
// arrive.
func movedKey(dir string, trouble bool, r *record) (int, error) {
	store, address := platform()
	var mu sync.Mutex
	runs := map[string]accountRun{}
	for i, zone := range []string{"gebze-a", "tuzla-b"} {
		u := platformtest.Upstream{ID: fmt.Sprintf("i-%d", i+1), Slots: 8}
		a := serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			id, ok := u.Accept(w, q)
			if !ok {
				return
			}
			account, _ := u.Account(q)
			n, _ := io.Copy(io.Discard, q.Body)
			mu.Lock()
			runs[id] = accountRun{time.Now(), account}
			mu.Unlock()
			r.line("%s runs request %s with %d bytes for tenant %q", u.ID, id, n, account)
			u.Sign(w.Header(), 1)
			_, _ = io.WriteString(w, "answer to "+id)
		}))
		store.PutUpstream(u.ID, platformtest.UpstreamRow{Service: "formul", Address: a, Zone: zone, Capacity: 8, StartedAt: time.Now()})
	}
	config := func(version int, first, second []string) {
		store.PutConfig(platformtest.Config{
			Version:  version,
			Routes:   map[string]platformtest.Route{"r-order": {Host: "shop.example", PathPrefix: "/orders/", Kind: platformtest.Unsafe, TimeoutMS: int(movedTimeout.Milliseconds()), TargetLatencyMS: 3000, Priority: 1, Service: "formul", Attempts: 2}},
			Services: map[string]platformtest.Service{"formul": {HealthCheckPath: "/healthz", MaxConnections: 330, WarmUpSeconds: 3, WarmUpRate: 3.5}},
			Limits:   platformtest.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
			Accounts: map[string]platformtest.Account{"t-1": {Keys: first}, "t-2": {Keys: second}},
		})
		r.line("the store has acknowledged version r%d of the configuration: t-1 holds %v, t-2 holds %v", version, first, second)
	}
	config(1, []string{"key-1", "key-3"}, []string{"key-2"})
	var hosts []*host
	for i, zone := range []string{"gebze-a", "tuzla-b"} {
		h, err := newHost(dir, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, "marmara", address, true)
		if err != nil {
			return 0, err
		}
		hosts = append(hosts, h)
		if err := h.start(); err != nil {
			return 0, err
		}
		defer h.signal(syscall.SIGKILL)
	}
	for _, h := range hosts {
		if err := h.awaitReady(10 * time.Second); err != nil {
			return 0, err
		}
	}
	time.Sleep(5 * time.Second) // longer than touch_ms: all machines are in touch

	var wait sync.WaitGroup
	for i := range movedCount {
		wait.Go(func() { upload(hosts[i%2], fmt.Sprintf("%016x", 0xc000+i), movedBytes, movedTime, r) })
	}
	time.Sleep(500 * time.Millisecond)
	holder := "t-1"
	var moved time.Time
	if trouble {
		holder = "t-2"
		config(2, []string{"key-3"}, []string{"key-2", "key-1"})
		moved = time.Now()
	}
	time.Sleep(applyTime)
	for i, h := range hosts { // shows what is in force at each machine
		wait.Go(func() { upload(h, fmt.Sprintf("%016x", 0xd000+i), 100, 0, r) })
	}
	wait.Wait()
	mu.Lock()
	defer mu.Unlock()
	foreign := 0
	for id, run := range runs {
		if run.account == holder || !moved.IsZero() && run.at.Sub(moved) <= applyTime {
			continue
		}
		foreign++
		r.line("UNASKED: request %s ran for tenant %q %.3f s after the key that it carries belonged to %q", id, run.account, run.at.Sub(moved).Seconds(), holder)
	}
	r.line("%d of %d requests ran for a tenant that does not hold their key", foreign, len(runs))
	if len(runs) != movedCount+len(hosts) {
		return 0, fmt.Errorf("only %d requests ran", len(runs))
	}
	if foreign > 0 {
		return broken, nil
	}
	return held, nil
}

// upload sends a request whose body arrives over a time, and waits for its answer.
func upload(h *host, id string, size int, over time.Duration, r *record) {
	c, err := net.Dial("tcp", h.callers)
	if err != nil {
		r.line("request %s: %v", id, err)
		return
	}
	defer func() { _ = c.Close() }()
	head, _ := http.NewRequest(http.MethodPost, "/", nil)
	platformtest.Request{ID: id, Timeout: movedTimeout, Credential: "key-1"}.SetHeaders(head.Header)
	_, _ = fmt.Fprintf(c, "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n", size)
	_ = head.Header.Write(c)
	_, _ = io.WriteString(c, "\r\n")
	r.line("client sends the head of request %s with key-1 to %s, and its %d bytes over %s", id, h.name, size, over)
	part := make([]byte, size/movedParts+1)
	for left := size; left > 0; {
		n := min(left, len(part))
		if _, err := c.Write(part[:n]); err != nil {
			r.line("request %s: %v", id, err)
			return
		}
		left -= n
		time.Sleep(over / movedParts)
	}
	_ = c.SetReadDeadline(time.Now().Add(movedTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		r.line("request %s: %v", id, err)
		return
	}
	_ = resp.Body.Close()
	r.line("request %s is answered with %d", id, resp.StatusCode)
}
