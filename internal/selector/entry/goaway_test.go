package entry_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/peer"
	"cairndock/internal/selector/entry/clustertest"
	"cairndock/internal/selector/entry/clustertest/memnet"
	"cairndock/internal/selector/entry/forward"
)

// sendInterval is chosen so that the host is idle between two requests for about
// the transit time from another region. While the host is idle, the next request
// is usually in transit.
const sendInterval = clustertest.Latency + 40*time.Millisecond

// forwards counts the outcomes of the requests that a host forwarded to another.
type forwards struct {
	answered, notRun, lost int
}

// forwardOne forwards one request, like a host whose latest heartbeat from the peer
// was sent before the stop.
func (f *forwards) forwardOne(mu *sync.Mutex, m *peer.Mesh, addr string) {
	req := clustertest.Lookup("/x")
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	_, err := peer.Call[any](ctx, m, addr, peer.KindForward, forward.NewMessage(ctx, req, "all", time.Time{}))
	mu.Lock()
	defer mu.Unlock()
	switch {
	case err == nil:
		f.answered++
	case errors.Is(err, peer.ErrNotSent):
		f.notRun++
	default:
		f.lost++
	}
}

// Guards against requests that are lost in a planned stop although the stop reports
// none. Another host that has not learned of the stop forwards requests. Requests
// in transit at the end of the stop's wait were cut with the connection and
// reported as possibly run, so that those that must not be repeated were lost. The
// wait counted only requests that handlers had decoded, and the connection was
// closed independently of its reader.
func TestARequestSentOnToAStoppingHostIsAnsweredOrDidNotRun(t *testing.T) {
	inBubble(t, clustertest.Anywhere, func(c *cluster) {
		h := c.Host("costa-a-1")
		addr := h.Self().PeerAddr
		other := peer.NewMesh(peer.Hello{Host: "sierra-b-9", Zone: "sierra-b"}, memnet.End{Net: c.Net, Name: "sierra-b-9"}, nil)
		defer other.Close()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			report := h.Stop(context.Background())
			c.Kill("costa-a-1")
			if report.Cut != 0 || !report.HandedOver {
				t.Errorf("stop: %+v", report)
			}
		}()
		var mu sync.Mutex
		var wait sync.WaitGroup
		var out forwards
		for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(sendInterval) {
			wait.Go(func() { out.forwardOne(&mu, other, addr) })
			select {
			case <-stopped:
				end = time.Now()
			default:
			}
		}
		<-stopped
		wait.Wait()
		t.Logf("answered %d, not run %d, lost %d", out.answered, out.notRun, out.lost)
		require.Zero(t, out.lost)
		require.NotZero(t, out.answered)
	})
}
