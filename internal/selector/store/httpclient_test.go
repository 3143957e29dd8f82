package store

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// closableBody is a request body that waits at its end until it is closed, and fails then.
type closableBody struct {
	io.Reader
	closed chan struct{}
	once   sync.Once
}

func (b *closableBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	<-b.closed
	return n, errors.New("read after close")
}

func (b *closableBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

func TestAResponseIsReadAfterItsRequestsBodyWasClosed(t *testing.T) {
	const size = 1 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
		_, _ = w.Write(make([]byte, size))
	}))
	defer server.Close()
	request := []byte("the request")
	body := &closableBody{Reader: bytes.NewReader(request), closed: make(chan struct{})}
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, body)
	require.NoError(t, err)
	r.ContentLength = int64(len(request))
	resp, err := newHTTPClient().Do(r)
	require.NoError(t, err)
	defer func() { require.NoError(t, resp.Body.Close()) }()
	require.NoError(t, body.Close())
	all, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, string(request), string(all[:len(request)]))
	require.Len(t, all[len(request):], size)
}
