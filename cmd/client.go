package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/readlimit"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/configsync"
	"cairndock/internal/selector/operator"
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/tlsfiles"
)

// envToken is the environment variable with the operator's token, so that the
// token does not have to appear on the command line.
const envToken = "CAIRNDOCK_TOKEN"

// clientTimeout limits a request to a host. It is above the longest wait for a
// change, 60 s.
const clientTimeout = 90 * time.Second

// maxResponseBytes limits the response of a host. It is far above the largest document.
const maxResponseBytes = 64 << 20

// client sends requests to a host's operator address.
type client struct {
	addr  string
	token string
	tls   servesettings.TLS
	json  bool
}

func (c *client) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "operator", "127.0.0.1:8081", "operator `address` of any host")
	f.StringVar(&c.token, "token", os.Getenv(envToken), "operator's `token`; "+envToken+" by default")
	f.StringVar(&c.tls.Certificate, "cert", "", "client certificate `file`, for mutual TLS")
	f.StringVar(&c.tls.Key, "key", "", "client key `file`")
	f.StringVar(&c.tls.CA, "ca", "", "CA `file`")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// do sends a request and returns the status and body of the response.
func (c *client) do(ctx context.Context, method, path string, header http.Header, body []byte) (int, []byte, error) {
	scheme, transport := "http", &http.Transport{}
	if c.tls.Enabled() {
		files, err := tlsfiles.Open(c.tls)
		if err != nil {
			return 0, nil, err
		}
		scheme, transport.TLSClientConfig = "https", files.Client("")
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, eris.Wrap(err, "make request")
	}
	maps.Copy(req.Header, header)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := (&http.Client{Transport: transport, Timeout: clientTimeout}).Do(req)
	if err != nil {
		return 0, nil, eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(readlimit.New(resp.Body, maxResponseBytes, "the response of "+c.addr))
	return resp.StatusCode, out, eris.Wrap(err, "read response")
}

// get requests a path and returns the body. It fails unless the status is 200.
func (c *client) get(ctx context.Context, path string) ([]byte, error) {
	status, body, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err == nil && status != http.StatusOK {
		err = unexpected(status, body)
	}
	return body, err
}

// getJSON requests a path and returns the decoded body and the body itself.
func getJSON[T any](ctx context.Context, c *client, path string) (v T, body []byte, err error) {
	if body, err = c.get(ctx, path); err == nil {
		err = eris.Wrap(json.Unmarshal(body, &v), "decode response")
	}
	return v, body, err
}

// show requests a path and prints the response: as JSON if --json is set,
// otherwise with text. It returns the decoded response.
func show[T any](ctx context.Context, c *client, path string, text func(T)) (T, error) {
	v, body, err := getJSON[T](ctx, c, path)
	if err == nil {
		c.print(body, func() { text(v) })
	}
	return v, err
}

// putConfig sends a configuration document once, as the change with the given id.
// base is the revision that the document is based on, or "" for none.
func (c *client) putConfig(ctx context.Context, query, id, base string, document []byte) (int, []byte, error) {
	header := http.Header{operator.HeaderChange: {id}}
	if base != "" {
		header.Set("If-Match", base)
	}
	return c.do(ctx, http.MethodPut, "/v1/config"+query, header, document)
}

// printChange prints the response to a change and returns it decoded. The error is
// a *config.Conflict if another change was accepted first.
func (c *client) printChange(status int, body []byte) (configsync.Applied, error) {
	var applied configsync.Applied
	switch status {
	case http.StatusOK, http.StatusAccepted:
		if err := json.Unmarshal(body, &applied); err != nil {
			return applied, err
		}
		c.print(body, func() { printApplied(applied) })
		return applied, nil
	case http.StatusConflict:
		conflict := &config.Conflict{}
		if err := json.Unmarshal(body, conflict); err != nil {
			return applied, err
		}
		return applied, eris.Wrap(conflict, "conflict")
	}
	return applied, unexpected(status, body)
}

// unexpected returns the error of a response with an unexpected status.
func unexpected(status int, body []byte) error {
	return eris.Errorf("host responded with status %d: %s", status, bytes.TrimSpace(body))
}

// print prints a response: as JSON if --json is set, otherwise by calling text.
func (c *client) print(body []byte, text func()) {
	if !c.json {
		text()
		return
	}
	var out bytes.Buffer
	if json.Indent(&out, body, "", "  ") != nil {
		out.Write(body)
	}
	fmt.Println(out.String())
}
