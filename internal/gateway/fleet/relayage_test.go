package fleet

import (
	"context"
	"math"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
)

const (
	// relayedAge is the age of the pages of a slowRelay, and transit the time that its
	// responses spend on their way.
	relayedAge, transit = time.Second, 100 * time.Millisecond
)

// slowRelay is a relay whose responses take a while to arrive.
type slowRelay struct {
	// held is how long the relay says that it held the request.
	held *time.Duration
	// chunks is the number of chunks of a listing.
	chunks int64
	sent   atomic.Int64
}

func (r *slowRelay) ServePeer(_ context.Context, _ peer.Hello, _ peer.Kind, _ []byte, w *peer.Responder) {
	time.Sleep(transit)
	rows := []watch.Row{{Key: "a"}}
	_ = w.Send(relayResponse{Page: watch.Page{Age: relayedAge, Rows: rows}, Held: r.held, More: r.sent.Add(1) < r.chunks})
}

// A replica must not look younger than it is because a relay's response waited on its way.
func TestTheAgeOfARelayedPageIncludesItsTransit(t *testing.T) {
	for name, c := range map[string]struct {
		relay   *slowRelay
		list    bool
		atLeast time.Duration
	}{
		"changes":                {&slowRelay{held: new(time.Duration(0))}, false, relayedAge + transit},
		"changes that were held": {&slowRelay{held: new(transit / 2)}, false, relayedAge + transit/2},
		"a listing":              {&slowRelay{held: new(time.Duration(0)), chunks: 1}, true, relayedAge + transit},
		"a listing in chunks":    {&slowRelay{held: new(time.Duration(0)), chunks: 3}, true, relayedAge + 3*transit},
		"an older version":       {&slowRelay{}, false, relayedAge},
		"a negative time":        {&slowRelay{held: new(time.Duration(math.MinInt64))}, false, relayedAge + transit},
	} {
		t.Run(name, func(t *testing.T) {
			mesh := peer.NewMesh(peer.Hello{Host: "c"}, peer.TCP((&net.Dialer{}).DialContext), c.relay)
			address, err := mesh.Listen("127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(mesh.Close)
			b := startFleet(t, newFakeRegistry(), host("b", "z", "west"), nil)
			source, began := relay{fleet: b, address: address}, time.Now()
			var page watch.Page
			if c.list {
				page, err = source.List(t.Context())
			} else {
				page, err = source.Changes(t.Context(), watch.Version{}, 0)
			}
			require.NoError(t, err)
			require.GreaterOrEqual(t, page.Age, c.atLeast)
			require.LessOrEqual(t, page.Age, relayedAge+time.Since(began))
			if c.relay.held == nil {
				require.Equal(t, relayedAge, page.Age, "how long the relay held the request is unknown")
			}
		})
	}
}
