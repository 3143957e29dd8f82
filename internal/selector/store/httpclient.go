package store

import (
	"bytes"
	"io"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/rotisserie/eris"

	"cairndock/internal/readlimit"
)

const (
	// maxObjectBytes is the maximum size of a response's body. A snapshot of the planned size has
	// less than 1 MB, and a response of the table at most 1 MB of rows.
	maxObjectBytes = 64 << 20
	// maxHeadBytes is the maximum size of the header of a response.
	maxHeadBytes = 64 << 10
)

// httpClient is the client of the table and of the object store. Its responses are bounded.
type httpClient struct{ inner aws.HTTPClient }

func newHTTPClient() httpClient {
	return httpClient{awshttp.NewBuildableClient().WithTransportOptions(func(t *http.Transport) { t.MaxResponseHeaderBytes = maxHeadBytes })}
}

// Do implements aws.HTTPClient.
//
// The caller closes the body of the request once there is a response. The transport may still read
// the end of that body, and resets the connection if it can't, with the rest of the response. It
// therefore gets a copy.
func (c httpClient) Do(r *http.Request) (*http.Response, error) {
	r, err := withOwnBody(r)
	if err != nil {
		return nil, err
	}
	resp, err := c.inner.Do(r)
	if err == nil {
		resp.Body = limitedBody{readlimit.New(resp.Body, maxObjectBytes, "the response of "+r.URL.Host), resp.Body}
	}
	return resp, err
}

// withOwnBody returns a request with a copy of the body, if it has one of a known length.
func withOwnBody(r *http.Request) (*http.Request, error) {
	if r.Body == nil || r.ContentLength <= 0 {
		return r, nil
	}
	defer func() { _ = r.Body.Close() }() // all of it was read, or the read failed
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, eris.Wrap(err, "read request body")
	}
	own := r.Clone(r.Context())
	own.Body = io.NopCloser(bytes.NewReader(body))
	own.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	return own, nil
}

type limitedBody struct {
	io.Reader
	io.Closer
}
