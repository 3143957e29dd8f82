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

// A host that is short of CPU time may read a connection only after the
// limit of its phase. Bytes that arrived in time must be read once, and nothing
// after them.
func TestBytesThatArrivedInTimeAreReadLate(t *testing.T) {
	for name, p := range map[string]phase{"fresh": fresh, "reading": reading, "idle": idle} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Options{HTTP: &http.Server{}, Limits: func() Limits { return Limits{Header: time.Second, Idle: time.Second} }})
				near, far := net.Pipe()
				c := &conn{Conn: far, server: s}
				c.setPhase(p)
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
					require.ErrorIs(t, err, os.ErrDeadlineExceeded, "a client that sends its header in small pieces gets no extra time")
					require.Error(t, <-written)
					return
				}
				_, err = c.Read(buf) // the header timeout applies now
				require.NoError(t, err)
				require.NoError(t, <-written)

				// The final read is available once in each phase: the next
				// request may also arrive at a delayed host.
				c.applyState(http.StateActive)
				c.applyState(http.StateIdle)
				go func() { _, _ = near.Write([]byte("c")) }()
				time.Sleep(2 * time.Second)
				n, err = c.Read(buf)
				require.NoError(t, err)
				require.Equal(t, "c", string(buf[:n]))
			})
		})
	}
}
