package httpserver_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/httpserver"
)

// testServer is a server on the loopback interface.
type testServer struct {
	*httpserver.Server
	t       *testing.T
	address string
	limits  atomic.Pointer[httpserver.Limits]
	cut     atomic.Int64
	served  chan error
}

// newServer starts a server, over TLS if config is not nil.
func newServer(t *testing.T, h http.HandlerFunc, config *tls.Config) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &testServer{t: t, address: l.Addr().String(), served: make(chan error, 1)}
	s.limits.Store(&httpserver.Limits{})
	s.Server = httpserver.New(httpserver.Options{
		HTTP:       &http.Server{Handler: h},
		Limits:     func() httpserver.Limits { return *s.limits.Load() },
		RequestCut: func() { s.cut.Add(1) },
	})
	t.Cleanup(s.Close)
	go func() { s.served <- s.Serve(l, config) }()
	return s
}

// client is the connection of a client.
type client struct {
	net.Conn
	t      *testing.T
	reader *bufio.Reader
}

func (s *testServer) connect() *client {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	require.NoError(s.t, c.SetDeadline(time.Now().Add(5*time.Second)))
	return &client{c, s.t, bufio.NewReader(c)}
}

const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

func (c *client) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	require.NoError(c.t, err)
}

// response reads a complete response.
func (c *client) response() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(c.t, err)
	return resp
}

// requireEnd waits until the server closes the connection and checks that it
// sent nothing.
func (c *client) requireEnd() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	require.ErrorIs(c.t, err, io.EOF)
}

// drain drains the server with a timeout.
func (s *testServer) drain(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), timeout)
	defer cancel()
	return s.Drain(ctx)
}

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func TestDrainEndsConnectionsThatAreBetweenRequests(t *testing.T) {
	s := newServer(t, ok, nil)
	idle, fresh := s.connect(), s.connect()
	idle.write(request)
	idle.response()
	require.NoError(t, s.drain(2*time.Second))
	idle.requireEnd()
	fresh.requireEnd()
	require.NoError(t, <-s.served)
	_, err := net.Dial("tcp", s.address)
	require.Error(t, err)
	require.Zero(t, s.cut.Load())
	require.NoError(t, s.drain(time.Second), "a second call returns too")
}

func TestDrainWaitsForRequestsInFlight(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		ok(w, r)
	}, nil)
	c := s.connect()
	c.write(request)
	<-started
	require.ErrorIs(t, s.drain(100*time.Millisecond), context.DeadlineExceeded)
	close(release)
	c.response()
	c.requireEnd()
	require.NoError(t, s.drain(time.Second))
	require.Zero(t, s.cut.Load())
}

// A drain must still read the first request on a new connection and the rest of
// a partial header.
func TestDrainReadsRequestsThatHaveBegun(t *testing.T) {
	for name, before := range map[string]string{"a new connection": "", "a part of a header": request[:8]} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPipeServer(t, ok, httpserver.Limits{})
				c := p.connect()
				c.write(before)
				time.Sleep(50 * time.Millisecond) // until the connection is accepted and read
				drained := make(chan error, 1)
				go func() { drained <- p.Drain(t.Context()) }()
				time.Sleep(100 * time.Millisecond)
				c.write(request[len(before):])
				resp := c.response()
				require.True(t, resp.Close, "the response has Connection: close")
				require.NoError(t, <-drained)
			})
		})
	}
}

// The server reads one byte ahead while it serves a request, to detect that the
// client disconnects. If that byte belongs to the next request, the connection
// is not idle and a drain must wait for the request.
func TestAByteThatWasReadAheadBeginsARequest(t *testing.T) {
	sent := make(chan struct{}, 1)
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		ok(w, r)
		_ = http.NewResponseController(w).Flush()
		<-sent
		time.Sleep(50 * time.Millisecond) // until the byte is read
	}, nil)
	c := s.connect()
	c.write(request)
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	c.write(request[:1])
	sent <- struct{}{}
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	drained := make(chan error, 1)
	go func() { drained <- s.drain(3 * time.Second) }()
	time.Sleep(200 * time.Millisecond) // an idle connection would have ended by now
	sent <- struct{}{}
	c.write(request[1:])
	c.response()
	require.NoError(t, <-drained)
}

func TestLimitsHoldForConnectionsThatWait(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits httpserver.Limits
		before []string
	}{
		{"no request", httpserver.Limits{Header: 200 * time.Millisecond}, nil},
		{"a header that stalls", httpserver.Limits{Header: 200 * time.Millisecond}, []string{request[:20]}},
		{"an idle connection", httpserver.Limits{Idle: 200 * time.Millisecond}, []string{request}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t, ok, nil)
			s.limits.Store(&c.limits)
			conn := s.connect()
			began := time.Now()
			for _, text := range c.before {
				conn.write(text)
				if text == request {
					conn.response()
				}
			}
			conn.requireEnd()
			require.InDelta(t, 0.2, time.Since(began).Seconds(), 0.15)
		})
	}
}

// A header that arrives byte by byte must not hold a connection longer than one that stalls.
func TestAHeaderThatArrivesSlowlyIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipeServer(t, ok, httpserver.Limits{Header: 2 * time.Second})
		c := p.connect()
		began := time.Now()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nA: ")
		for bytes := 0; err == nil; bytes++ {
			require.Less(t, bytes, 30)
			time.Sleep(100 * time.Millisecond)
			_, err = io.WriteString(c, "x")
		}
		require.LessOrEqual(t, time.Since(began), 2200*time.Millisecond)
		require.NoError(t, p.Drain(t.Context()))
	})
}

func TestLimitsThatGrowHoldForConnectionsThatWait(t *testing.T) {
	s := newServer(t, ok, nil)
	s.limits.Store(&httpserver.Limits{Idle: 200 * time.Millisecond})
	c := s.connect()
	c.write(request)
	c.response()
	s.limits.Store(&httpserver.Limits{Idle: time.Second})
	time.Sleep(400 * time.Millisecond)
	c.write(request)
	c.response()
}

// A request and its body may take longer than every limit.
func TestLimitsLeaveARequestInFlight(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, r.Context().Err())
		ok(w, r)
	}, nil)
	s.limits.Store(&httpserver.Limits{Header: 50 * time.Millisecond, Idle: 50 * time.Millisecond})
	c := s.connect()
	c.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\na")
	time.Sleep(200 * time.Millisecond)
	c.write("b")
	require.Equal(t, http.StatusOK, c.response().StatusCode)
}

func TestConnectionsBelowTLSAreHeldToTheLimits(t *testing.T) {
	certified := httptest.NewTLSServer(http.NotFoundHandler())
	defer certified.Close()
	s := newServer(t, ok, &tls.Config{Certificates: certified.TLS.Certificates})
	s.limits.Store(&httpserver.Limits{Idle: 200 * time.Millisecond})
	plain := s.connect()
	c := tls.Client(plain.Conn, &tls.Config{InsecureSkipVerify: true}) // the server belongs to the test
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	began := time.Now()
	_, err = io.Copy(io.Discard, c)
	require.Less(t, time.Since(began), time.Second, "the server closes the connection")
	require.NotErrorIs(t, err, context.DeadlineExceeded)
	require.NoError(t, s.drain(time.Second))
}

func TestCloseCountsTheRequestsItAborts(t *testing.T) {
	started := make(chan struct{})
	s := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		require.True(t, httpserver.ClosedHere(r.Context()))
	}, nil)
	c := s.connect()
	c.write(request)
	<-started
	s.Close()
	_, err := c.reader.ReadByte()
	require.Error(t, err)
	require.EqualValues(t, 1, s.cut.Load())
}

// queueListener queues connections and accepts them late. Closing it resets the
// queued connections, as the kernel does.
type queueListener struct {
	waiting chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *queueListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case <-time.After(20 * time.Millisecond):
	}
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case c := <-l.waiting:
		return c, nil
	}
}

func (l *queueListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		for len(l.waiting) > 0 {
			_ = (<-l.waiting).Close()
		}
	})
	return nil
}

func (l *queueListener) Addr() net.Addr { return &net.TCPAddr{} }

// pipeServer is a server with in-memory connections, for tests in a synctest
// bubble.
type pipeServer struct {
	*httpserver.Server
	t        *testing.T
	listener *queueListener
}

func newPipeServer(t *testing.T, h http.HandlerFunc, limits httpserver.Limits) *pipeServer {
	t.Helper()
	p := &pipeServer{t: t, listener: &queueListener{waiting: make(chan net.Conn, 4), closed: make(chan struct{})}}
	p.Server = httpserver.New(httpserver.Options{
		HTTP:   &http.Server{Handler: h},
		Limits: func() httpserver.Limits { return limits },
	})
	go func() { _ = p.Serve(p.listener, nil) }()
	return p
}

func (p *pipeServer) connect() *client {
	near, far := net.Pipe()
	p.t.Cleanup(func() { _ = near.Close() })
	p.listener.waiting <- far
	return &client{near, p.t, bufio.NewReader(near)}
}

// A client's connection may be established and its request sent before the
// server accepts the connection. A drain that closed the listener immediately
// reset such connections.
func TestDrainAcceptsWhatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const waiting = 2
		p := newPipeServer(t, ok, httpserver.Limits{})
		statuses := make(chan int, waiting)
		for range waiting {
			c := p.connect()
			go func() { statuses <- statusOn(c) }()
		}
		require.NoError(t, p.Drain(t.Context()))
		for range waiting {
			require.Equal(t, http.StatusOK, <-statuses)
		}
	})
}

// statusOn sends a request on a connection and returns the status of the
// response, or 0 without a response.
func statusOn(c net.Conn) int {
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, request); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// The server responds without reading a body that is too large to be used, and
// must signal the end of the response to the client immediately.
func TestTheEndOfAResponseIsSignaledWhileItsBodyIsUnread(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}, nil)
	c := s.connect()
	c.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n")
	began := time.Now()
	require.Equal(t, http.StatusRequestEntityTooLarge, c.response().StatusCode)
	c.requireEnd()
	require.Less(t, time.Since(began), 400*time.Millisecond, "the server continues to read for 500 ms before it closes the connection")
}

// shortListener simulates a shortage of descriptors while short is set.
type shortListener struct {
	*queueListener
	short *atomic.Bool
}

func newShortListener() shortListener {
	q := &queueListener{waiting: make(chan net.Conn, 4), closed: make(chan struct{})}
	return shortListener{q, &atomic.Bool{}}
}

// Accept polls for a connection every millisecond. It checks for a free
// descriptor first, as the kernel does.
func (l shortListener) Accept() (net.Conn, error) {
	for ; ; time.Sleep(time.Millisecond) {
		if l.short.Load() {
			return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case c := <-l.waiting:
			return c, nil
		default:
		}
	}
}

// shortServer is a server with a shortListener. It records the calls of
// Options.AcceptStateChanged.
type shortServer struct {
	*pipeServer
	short    *atomic.Bool
	mu       sync.Mutex
	reported []error
}

func newShortServer(t *testing.T) *shortServer {
	t.Helper()
	l := newShortListener()
	s := &shortServer{short: l.short}
	server := httpserver.New(httpserver.Options{
		HTTP: &http.Server{Handler: http.HandlerFunc(ok)},
		AcceptStateChanged: func(err error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reported = append(s.reported, err)
		},
	})
	s.pipeServer = &pipeServer{Server: server, t: t, listener: l.queueListener}
	go func() { _ = server.Serve(l, nil) }()
	return s
}

// states returns for each recorded call whether it reported a shortage.
func (s *shortServer) states() []bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var states []bool
	for _, err := range s.reported {
		states = append(states, err != nil)
	}
	return states
}

// A server that is short of descriptors must report the shortage once, close
// idle connections, and accept again as soon as it can.
func TestAShortageOfDescriptorsIsReportedAndRelieved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShortServer(t)
		idle := s.connect()
		idle.write(request)
		idle.response()
		s.short.Store(true)
		time.Sleep(10 * time.Second)
		require.Equal(t, []bool{true}, s.states())
		idle.requireEnd()

		began := time.Now()
		waiting := s.connect()
		s.short.Store(false)
		waiting.write(request)
		waiting.response()
		require.Less(t, time.Since(began), 100*time.Millisecond)
		require.NoError(t, s.Drain(t.Context()))
	})
}

// No client connects to a host that reports that it is not ready. When only a
// new connection could end a shortage, the host stayed not ready forever.
func TestAShortageEndsWithoutANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShortServer(t)
		s.short.Store(true)
		time.Sleep(time.Second)
		s.short.Store(false)
		time.Sleep(1200 * time.Millisecond)
		require.Equal(t, []bool{true, false}, s.states())
		require.NoError(t, s.Drain(t.Context()))
	})
}

// While the descriptor table is full, each released descriptor is taken
// immediately. This must count as one shortage.
func TestAShortageThatComesAndGoesIsToldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newShortServer(t)
		for range 50 {
			s.short.Store(true)
			time.Sleep(60 * time.Millisecond)
			s.short.Store(false)
			time.Sleep(60 * time.Millisecond)
		}
		require.Equal(t, []bool{true}, s.states())
		require.NoError(t, s.Drain(t.Context()))
	})
}

// A client that sends only part of a header must not delay a stop.
func TestAPartOfAHeaderDoesNotHoldADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPipeServer(t, ok, httpserver.Limits{Header: time.Minute})
		p.connect().write(request[:8])
		time.Sleep(time.Second)
		began := time.Now()
		require.NoError(t, p.Drain(t.Context()))
		require.Less(t, time.Since(began), time.Second)
	})
}
