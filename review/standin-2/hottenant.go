package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cairndock/platform/platformtest"
)

const (
	// slowBytes is the size of a body that a client sends over slowTime, longer than it waits.
	// slowTimeout is the timeout of the route, and slowDeadline how long these clients wait.
	slowBytes    = 48 << 10
	slowTime     = 15 * time.Second
	slowParts    = 150
	slowTimeout  = 2 * time.Second
	slowDeadline = 10 * time.Second
	// slowPause is the time between two requests with such bodies in usual times. They are sent
	// during slowPeriod.
	slowPause  = 100 * time.Millisecond
	slowPeriod = 4 * time.Second
	// tenantRate and tenantBurst are the limit of the tenant. It is 1.6 times its usual rate,
	// 12.5 requests per second: 10 slow ones and usualRate fast ones. While it is hot, for hotTime, it
	// sends hotFactor times as many of both.
	tenantRate, tenantBurst = 20, 20
	usualRate               = 2.5
	hotFactor               = 7.5
	hotTime                 = 8 * time.Second
	// afterTimeout is how long after the route's timeout a request has to have its answer.
	afterTimeout = 500 * time.Millisecond
)

// hotTenant: one tenant sends many times its usual, and some of its clients send slowly.
func hotTenant(dir string, trouble bool, r *record) (int, error) {
	store, address := platform()
	for i, zone := range []string{"gebze-a", "tuzla-b", "gebze-a", "tuzla-b"} {
		u := platformtest.Upstream{ID: fmt.Sprintf("i-%d", i+1), Slots: 8}
		a := serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			id, ok := u.Accept(w, q)
			if !ok {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			time.Sleep(20 * time.Millisecond)
			u.Sign(w.Header(), 1)
			_, _ = io.WriteString(w, "answer to "+id)
		}))
		store.PutUpstream(u.ID, platformtest.UpstreamRow{Service: "formul", Address: a, Zone: zone, Capacity: 8, StartedAt: time.Now()})
	}
	store.PutConfig(platformtest.Config{
		Version:  1,
		Routes:   map[string]platformtest.Route{"r-order": {Host: "shop.example", PathPrefix: "/orders/", Kind: platformtest.Unsafe, TimeoutMS: int(slowTimeout.Milliseconds()), TargetLatencyMS: 1000, Priority: 1, Service: "formul", Attempts: 2}},
		Services: map[string]platformtest.Service{"formul": {HealthCheckPath: "/healthz", MaxConnections: 330, WarmUpSeconds: 3, WarmUpRate: 3.5}},
		Limits:   platformtest.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 64 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Accounts: map[string]platformtest.Account{"t-1": {Keys: []string{"key-1"}, RatePerS: tenantRate, Burst: tenantBurst}},
	})
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
	time.Sleep(10 * time.Second) // longer than touch_ms, and until the tenant's limit has filled

	var wait sync.WaitGroup
	factor, end := 1.0, time.Now().Add(hotTime)
	if trouble {
		factor = hotFactor
	}
	rate := usualRate * factor
	slowCount := int(float64(slowPeriod/slowPause) * factor)
	r.line("tenant t-1 sends %.2f fast requests per second, and %d slow ones in %s; its limit is %d per second", rate, slowCount, slowPeriod, tenantRate)
	var served, refused atomic.Int64
	const senders = 20
	for i := range senders {
		wait.Go(func() {
			c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
			for n := 0; time.Now().Before(end); n++ {
				q, _ := http.NewRequest(http.MethodPost, "http://"+hosts[i%2].callers+"/orders/1", nil)
				q.Host = "shop.example"
				platformtest.Request{ID: fmt.Sprintf("f%03x%012x", i, n), Timeout: 2 * time.Second, Credential: "key-1"}.SetHeaders(q.Header)
				if resp, err := c.Do(q); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						served.Add(1)
					} else {
						refused.Add(1)
					}
				}
				time.Sleep(time.Duration(senders / rate * float64(time.Second)))
			}
		})
	}
	time.Sleep(3 * time.Second)
	answered := make([]time.Duration, slowCount) // zero: no answer before the deadline
	for i := range slowCount {
		id := fmt.Sprintf("%016x", 0xb000+i)
		wait.Go(func() { answered[i] = sendSlowly(hosts[i%2], id, r) })
		time.Sleep(time.Duration(float64(slowPause) / factor))
	}
	wait.Wait()
	unanswered, still := 0, 0
	for i, took := range answered {
		if took != 0 && took < slowTimeout {
			continue
		}
		unanswered++
		if took == 0 || took > slowTimeout+afterTimeout {
			still++
			r.line("request %016x had no answer %.1f s after it was sent; the timeout of its route is %s", 0xb000+i, (slowTimeout + afterTimeout).Seconds(), slowTimeout)
		}
	}
	r.line("fast requests: %d served, %d refused; of %d slow ones %d unanswered at the route's timeout, of these %d unanswered 0.5 s later", served.Load(), refused.Load(), slowCount, unanswered, still)
	if 2*still > unanswered {
		return broken, nil
	}
	return held, nil
}

// sendSlowly sends a request with a slow body, and returns after what time it was answered.
func sendSlowly(h *host, id string, r *record) time.Duration {
	began := time.Now()
	c, err := net.Dial("tcp", h.callers)
	if err != nil {
		r.line("request %s: %v", id, err)
		return 0
	}
	defer func() { _ = c.Close() }()
	head, _ := http.NewRequest(http.MethodPost, "/", nil)
	platformtest.Request{ID: id, Timeout: slowDeadline, Credential: "key-1"}.SetHeaders(head.Header)
	_, _ = fmt.Fprintf(c, "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n", slowBytes)
	_ = head.Header.Write(c)
	_, _ = io.WriteString(c, "\r\n")
	r.line("client sends the head of request %s to %s, and its %d bytes over %s", id, h.name, slowBytes, slowTime)
	stop := make(chan struct{})
	go func() {
		part := make([]byte, slowBytes/slowParts+1)
		for left := slowBytes; left > 0; {
			n := min(left, len(part))
			if _, err := c.Write(part[:n]); err != nil {
				return
			}
			left -= n
			select {
			case <-stop: // the client has its answer
				return
			case <-time.After(slowTime / slowParts):
			}
		}
	}()
	_ = c.SetReadDeadline(began.Add(slowDeadline))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	close(stop)
	took := time.Since(began)
	if err != nil {
		r.line("request %s: %v, %.3f s after it was sent", id, err, took.Seconds())
		return 0
	}
	_ = resp.Body.Close()
	r.line("request %s is answered with %d, %.3f s after it was sent", id, resp.StatusCode, took.Seconds())
	return took
}
