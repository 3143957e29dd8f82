package cmd

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/tlsfiles"
)

// envToken names the environment variable that holds the operator's token,
// so that it need not stand on the command line.
const envToken = "CAIRNDOCK_TOKEN"

const clientTimeout = 90 * time.Second

// client talks to a host's operator listener.
type client struct {
	addr  string
	token string
	tls   servesettings.TLS
	json  bool
}

func (c *client) flags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "operator", "127.0.0.1:8081", "operator `address` of any host")
	f.StringVar(&c.token, "token", os.Getenv(envToken), "operator's `token`; "+envToken+" by default")
	f.StringVar(&c.tls.Certificate, "cert", "", "client certificate `file`, for mutual TLS")
	f.StringVar(&c.tls.Key, "key", "", "client key `file`")
	f.StringVar(&c.tls.CA, "ca", "", "CA `file`")
	f.BoolVar(&c.json, "json", false, "print JSON")
}

// answer is what a host answered.
type answer struct {
	Status int
	Header http.Header
	Body   []byte
}

func (c *client) do(ctx context.Context, method, path string, header http.Header, body []byte) (answer, error) {
	scheme, transport := "http", &http.Transport{}
	if c.tls.Enabled() {
		config, err := c.tlsConfig()
		if err != nil {
			return answer{}, err
		}
		scheme, transport.TLSClientConfig = "https", config
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, eris.Wrap(err, "make request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := (&http.Client{Transport: transport, Timeout: clientTimeout}).Do(req)
	if err != nil {
		return answer{}, eris.Wrap(err, "ask host")
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, out}, eris.Wrap(err, "read answer")
}

func (c *client) tlsConfig() (*tls.Config, error) {
	files, err := tlsfiles.Open(c.tls)
	if err != nil {
		return nil, err
	}
	return files.Client(""), nil
}

// get asks for JSON and decodes it into out.
func (c *client) get(ctx context.Context, path string, out any) ([]byte, error) {
	a, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, err
	}
	if a.Status != http.StatusOK {
		return nil, eris.Errorf("host answered %d: %s", a.Status, bytes.TrimSpace(a.Body))
	}
	return a.Body, eris.Wrap(json.Unmarshal(a.Body, out), "read answer")
}

func printJSON(body []byte) {
	var out bytes.Buffer
	if json.Indent(&out, body, "", "  ") != nil {
		out.Write(body)
	}
	fmt.Println(out.String())
}
