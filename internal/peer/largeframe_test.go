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

// A request with little time left waited behind a large frame of another
// request. The peer read a chunk of that frame within each write timeout, and
// the cancel of the request had to wait for the frame too.
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
			go func() { // bytes arrive continuously, as if pings were answered
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
