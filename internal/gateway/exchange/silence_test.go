package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/dial/dialtest"
	"cairndock/internal/gateway/exchange"
	registry "cairndock/internal/gateway/upstream"
)

// maxIdleConns is the maximum number of idle connections that the pool keeps to one
// upstream.
const maxIdleConns = 8

// memoryUpstream is an upstream on an in-memory network, together with a client.
type memoryUpstream struct {
	*dialtest.Network
	client *exchange.Client
	// responseDelay is the delay before a response, in nanoseconds.
	responseDelay atomic.Int64
	// keepAlive is a header line of each response, or empty.
	keepAlive string
	nextID    atomic.Int64
}

func newMemoryUpstream(t *testing.T) *memoryUpstream {
	n := dialtest.New()
	t.Cleanup(func() { require.NoError(t, n.Close()) })
	u := &memoryUpstream{Network: n, client: exchange.NewClient(n.DialContext, protocol{})}
	t.Cleanup(func() { u.client.Retain(func(registry.Run) bool { return false }) })
	go func() {
		for {
			c, err := n.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u
}

func (u *memoryUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(u.responseDelay.Load()))
		response := strings.Replace(ok(r.Header.Get("Id"), "right"), "\r\n", "\r\n"+u.keepAlive, 1)
		if _, err := io.WriteString(c, response); err != nil {
			return
		}
	}
}

// begin sends a request and returns its response before the body is read.
func (u *memoryUpstream) begin(ctx context.Context) (*exchange.Response, error) {
	id := fmt.Sprint("r", u.nextID.Add(1))
	return u.client.Send(ctx, target(""), &exchange.Request{ID: id, Method: http.MethodGet, Target: "/", Host: "a", Header: http.Header{"Id": {id}}})
}

// send sends a request with a timeout and reads its response.
func (u *memoryUpstream) send(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := u.begin(ctx)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(resp.Body)
	_ = resp.Body.Close() // the body is complete, or err says why not
	return err
}

// fill opens as many idle connections as the pool keeps.
func (u *memoryUpstream) fill(t *testing.T) {
	t.Helper()
	u.responseDelay.Store(int64(50 * time.Millisecond))
	var wait sync.WaitGroup
	for range maxIdleConns {
		wait.Go(func() { require.NoError(t, u.send(t.Context(), time.Second)) })
	}
	wait.Wait()
	require.Equal(t, maxIdleConns, u.client.Idle())
}

// Open connections become silent permanently while new ones work. Without detection, a
// pool of them cost one request per connection: each request timed out, closed only its
// own connection, and the next request used the next silent one.
func TestAPoolOfSilentConnectionsCostsOneRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		// send sends one request, which ends without a response after 500 ms.
		send func(u *memoryUpstream) error
	}{
		{"deadline", func(u *memoryUpstream) error { return u.send(context.Background(), 500*time.Millisecond) }},
		{"cancel", func(u *memoryUpstream) error {
			ctx, cancel := context.WithCancel(context.Background())
			defer time.AfterFunc(500*time.Millisecond, cancel).Stop()
			return u.send(ctx, time.Minute)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newMemoryUpstream(t)
				u.fill(t)
				var closed atomic.Int64
				u.client.OnSilent(func(connections int) { closed.Add(int64(connections)) })
				time.Sleep(time.Millisecond)
				u.Silence()
				began := time.Now()
				lost := 0
				for c.send(u) != nil {
					lost++
				}
				dialed, _ := u.Silent()
				t.Logf("lost %d requests, %v until one was served, %d silent connections left", lost, time.Since(began), dialed)
				require.Equal(t, 1, lost)
				require.Zero(t, dialed)
				require.EqualValues(t, maxIdleConns-1, closed.Load(), "all but the connection of the request itself")
			})
		})
	}
}

// A request that may run only once is not canceled when it is overdue, and occupies its
// silent connection until its deadline. Meanwhile other requests must not use the other
// silent connections.
func TestARequestThatWaitsLongGivesUpTheOtherSilentConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newMemoryUpstream(t)
		u.fill(t)
		time.Sleep(time.Millisecond)
		u.Silence()
		began := time.Now()
		var lost, lastLost atomic.Int64
		var wait sync.WaitGroup
		for i := range 16 {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 600 * time.Millisecond)
				if u.send(t.Context(), 3*time.Second) != nil {
					lost.Add(1)
					lastLost.Store(int64(time.Since(began)))
				}
			})
		}
		wait.Wait()
		dialed, _ := u.Silent()
		t.Logf("lost %d of 16 requests, the last after %v, %d silent connections left", lost.Load(), time.Duration(lastLost.Load()), dialed)
		require.LessOrEqual(t, lost.Load(), int64(2))
		require.Zero(t, dialed)
	})
}

// The older idle connections of an upstream that is only slow are closed as well. Under
// steady traffic this costs no new connections, because connections that were not used
// since before the slow request are not needed. Each bound is the measured number of
// dials, which is the same without the watch.
func TestASlowUpstreamCostsFewDials(t *testing.T) {
	for _, c := range []struct {
		name string
		// interval is the time between two requests, and timeout the time limit of each.
		// The upstream responds after 90 ms, or after slow for 10 of the 30 s. No
		// response ends at the moment at which a request begins, so that the order is
		// deterministic.
		interval, timeout, slow time.Duration
		// dials is the maximum number of dials.
		dials int
	}{
		{"2 requests per second, all served", 500 * time.Millisecond, 3 * time.Second, 1470 * time.Millisecond, 10},
		{"20 requests per second, all served", 50 * time.Millisecond, 3 * time.Second, 1470 * time.Millisecond, 36},
		{"20 requests per second, slightly slow", 50 * time.Millisecond, 3 * time.Second, 870 * time.Millisecond, 24},
		{"2 requests per second, canceled when overdue", 500 * time.Millisecond, 380 * time.Millisecond, 1470 * time.Millisecond, 27},
		{"20 requests per second, canceled when overdue", 50 * time.Millisecond, 380 * time.Millisecond, 1470 * time.Millisecond, 207},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newMemoryUpstream(t)
				u.fill(t)
				began := time.Now()
				var wait sync.WaitGroup
				served, sent := atomic.Int64{}, 0
				for ; time.Since(began) < 30*time.Second; sent++ {
					u.responseDelay.Store(int64(90 * time.Millisecond))
					if at := time.Since(began); at > 10*time.Second && at < 20*time.Second {
						u.responseDelay.Store(int64(c.slow))
					}
					wait.Go(func() {
						if u.send(t.Context(), c.timeout) == nil {
							served.Add(1)
						}
					})
					time.Sleep(c.interval)
				}
				wait.Wait()
				t.Logf("%d dials for %d requests, %d served", u.Dials(), sent, served.Load())
				require.LessOrEqual(t, u.Dials(), c.dials)
			})
		})
	}
}

// The worst case: a slow request finds the pool full, and a burst needs the whole pool
// afterwards. Each such request costs all idle connections of the pool.
func TestASlowRequestBeforeABurstCostsThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newMemoryUpstream(t)
		u.fill(t)
		for range 5 {
			time.Sleep(time.Second)
			u.responseDelay.Store(int64(1200 * time.Millisecond))
			require.NoError(t, u.send(t.Context(), 3*time.Second))
			u.fill(t)
		}
		t.Logf("%d dials for 53 requests", u.Dials())
		require.LessOrEqual(t, u.Dials(), maxIdleConns+5*(maxIdleConns-1))
	})
}

// The upstream closes an idle connection after a timeout that starts with the last byte
// of its response. A client that read its response slowly, and a request whose deadline
// had passed before it was sent, each restarted the pool's timeout, so that a later
// request was written to a connection that the upstream was closing.
func TestAnIdleConnectionIsNotKeptBeyondTheUpstreamsTime(t *testing.T) {
	for name, use := range map[string]func(t *testing.T, u *memoryUpstream){
		"response closed late": func(t *testing.T, u *memoryUpstream) {
			resp, err := u.begin(t.Context())
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.NoError(t, err)
			time.Sleep(2 * time.Second)
			require.NoError(t, resp.Body.Close())
		},
		"request without time left": func(t *testing.T, u *memoryUpstream) {
			require.NoError(t, u.send(t.Context(), time.Second))
			time.Sleep(2 * time.Second)
			require.Error(t, u.send(t.Context(), 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := newMemoryUpstream(t)
				u.keepAlive = "Keep-Alive: timeout=4\r\n"
				use(t, u)
				require.Equal(t, 1, u.client.Idle())
				time.Sleep(1600 * time.Millisecond) // 3.6 s since the last byte
				require.NoError(t, u.send(t.Context(), time.Second))
				require.Equal(t, 2, u.Dials())
			})
		})
	}
}
