package store

import (
	"io"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"

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
func (c httpClient) Do(r *http.Request) (*http.Response, error) {
	resp, err := c.inner.Do(r)
	if err == nil {
		resp.Body = limitedBody{readlimit.New(resp.Body, maxObjectBytes, "the response of "+r.URL.Host), resp.Body}
	}
	return resp, err
}

type limitedBody struct {
	io.Reader
	io.Closer
}
