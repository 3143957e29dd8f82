package peer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A heartbeat that times out drops the connection. Every other stream on it,
// including requests of clients, used to end with an error although its
// response was on the way.
func TestADroppedConnectionServesItsOpenStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := memoryMeshes(t, &waitHandler{delay: 5 * time.Second})
		call := func() error {
			_, err := Call[string](t.Context(), client, "", KindForward, "x")
			return err
		}
		done := make(chan error, 1)
		go func() { done <- call() }()
		time.Sleep(time.Second)
		client.Drop("")
		require.NoError(t, call())
		require.NoError(t, <-done)
		require.Equal(t, 2, n.Dials(), "a new request makes a new connection")
		n.Silence()
		synctest.Wait()
		dialed, _ := n.Silent()
		require.Equal(t, 1, dialed, "the dropped connection is closed with its last stream")
	})
}

func TestADroppedConnectionWithoutStreamsIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := memoryMeshes(t, &waitHandler{})
		_, err := Call[string](t.Context(), client, "", KindForward, "x")
		require.NoError(t, err)
		n.Silence()
		client.Drop("")
		synctest.Wait()
		dialed, _ := n.Silent()
		require.Zero(t, dialed)
	})
}

// A dropped connection that goes silent must end its streams like any other
// connection.
func TestADroppedConnectionThatIsSilentIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, client := memoryMeshes(t, &waitHandler{delay: time.Hour})
		done := make(chan error, 1)
		go func() {
			_, err := Call[string](context.Background(), client, "", KindForward, "x")
			done <- err
		}()
		time.Sleep(time.Second)
		n.Silence()
		client.Drop("")
		began := time.Now()
		select {
		case err := <-done:
			require.ErrorIs(t, err, ErrLost)
			require.LessOrEqual(t, time.Since(began), (closeThreshold+2)*pingInterval)
		case <-time.After(time.Minute):
			t.Error("the stream never ends")
		}
	})
}

// A request had chosen a connection, and another goroutine closed the
// connection before the first byte of the request was written. The request
// failed although a new connection would have carried it.
func TestARequestWhoseConnectionIsClosedBeforeItIsSentDials(t *testing.T) {
	for name, closeConn := range map[string]func(m *Mesh, c *conn){
		"broken":  func(_ *Mesh, c *conn) { c.fail(errors.New("closed")) },
		"dropped": func(m *Mesh, _ *conn) { m.Drop("") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, client := memoryMeshes(t, &waitHandler{})
				call := func() error {
					_, err := Call[string](t.Context(), client, "", KindForward, "x")
					return err
				}
				require.NoError(t, call())
				c := client.dialed[""].conn.Load()
				c.writeToken <- struct{}{} // blocks the request after it has chosen the connection
				done := make(chan error, 1)
				go func() { done <- call() }()
				synctest.Wait()
				closeConn(client, c)
				<-c.writeToken
				require.NoError(t, <-done)
				require.Equal(t, 2, n.Dials())
			})
		})
	}
}
