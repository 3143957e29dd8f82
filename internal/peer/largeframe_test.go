package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A request with little time waited behind another's large frame, of which the
// peer took a part in each of its time-outs: its cancel had to be written too.
func TestARequestBehindALargeFrameEndsInItsOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		go func() {
			hello := Hello{Host: "slow", KeepAlive: true, Version: protocolVersion}
			payload, err := Encode(hello)
			if err != nil {
				panic(err)
			}
			go func() { _ = writeRaw(there, &frame{Type: frameHello, Data: payload}) }()
			r := bufio.NewReaderSize(there, 16)
			_, _ = readFrame(r)
			_, _ = readFrame(r)
			go func() { // answers pings in effect: something comes all the time
				for writeRaw(there, &frame{Type: framePong}) == nil {
					time.Sleep(500 * time.Millisecond)
				}
			}()
			buf := make([]byte, 64<<10)
			for {
				time.Sleep(2 * time.Second)
				if _, err := io.ReadFull(there, buf); err != nil {
					return
				}
			}
		}()
		c, err := newConn(t.Context(), here, Hello{Host: "client"}, echoHandler{}, dialed)
		require.NoError(t, err)
		defer func() {
			_ = there.Close()
			c.close()
			time.Sleep(5 * time.Second) // until the peer's goroutines have ended
		}()
		began := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			_, _ = c.open(t.Context(), KindForward, make([]byte, 900<<10))
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_, err = c.open(ctx, KindHeartbeat, nil)
		require.ErrorIs(t, err, ErrLost)
		require.LessOrEqual(t, time.Since(began), time.Second)
	})
}
