package httpserver

import (
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A host that is short of processor time comes to a connection when its time is
// over. What had arrived is read once, and then nothing more.
func TestWhatArrivedInTimeIsReadLate(t *testing.T) {
	for name, p := range map[string]phase{"fresh": fresh, "reading": reading, "idle": idle} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{HTTP: &http.Server{}, Limits: func() Limits { return Limits{Header: time.Second, Idle: time.Second} }})
				near, far := net.Pipe()
				c := &conn{Conn: far, server: s}
				c.begin(p)
				written := make(chan error, 1)
				go func() {
					_, err := near.Write([]byte("ab"))
					written <- err
				}()
				time.Sleep(2 * time.Second)
				buf := make([]byte, 1)
				n, err := c.Read(buf)
				require.NoError(t, err)
				require.Equal(t, "a", string(buf[:n]))
				if p == reading {
					_, err = c.Read(buf)
					require.ErrorIs(t, err, os.ErrDeadlineExceeded, "a client that sends bit by bit gains nothing")
					require.Error(t, <-written)
					return
				}
				_, err = c.Read(buf) // it has the time of a header now
				require.NoError(t, err)
				require.NoError(t, <-written)

				// And once in each phase: the next request, too, may come to a host
				// that is late.
				c.enter(http.StateActive)
				c.enter(http.StateIdle)
				go func() { _, _ = near.Write([]byte("c")) }()
				time.Sleep(2 * time.Second)
				n, err = c.Read(buf)
				require.NoError(t, err)
				require.Equal(t, "c", string(buf[:n]))
			})
		})
	}
}
