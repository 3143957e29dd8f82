package cmd

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
)

const (
	goodSettings = `
[host]
name = "h"
zone = "z"
region = "r"
[callers]
listen = "127.0.0.1:0"
[operators]
listen = "127.0.0.1:0"
token = "0123456789abcdef"
[peers]
listen = "127.0.0.1:0"
[platform]
table_endpoint = "http://127.0.0.1:1"
object_endpoint = "http://127.0.0.1:1"
hosts_url = "http://127.0.0.1:1"
access_key = "a"
secret_key = "b"
`
	goodConfig = "[[zone]]\nname = \"a\"\nregion = \"r\"\n"
)

// writeFile writes text to a temporary file and returns its name.
func writeFile(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "file.toml")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func TestCheckExitCodes(t *testing.T) {
	const platformConfig = `{"version":"r1","routes":{},"services":{}}`
	const warned = `{"version":"r1","services":{"s":{}}}`
	cases := []struct {
		name string
		cmd  checkCmd
		want subcommands.ExitStatus
	}{
		{"good settings", checkCmd{settings: writeFile(t, goodSettings)}, 0},
		{"good config", checkCmd{config: writeFile(t, goodConfig)}, 0},
		{"unknown key", checkCmd{settings: writeFile(t, goodSettings+"colour = 1\n")}, 1},
		{"missing values", checkCmd{settings: writeFile(t, "[host]\nname = \"h\"\n")}, 1},
		{"bad config", checkCmd{config: writeFile(t, "[[zone]]\nname = \"a\"\n")}, 1},
		{"no such file", checkCmd{config: "none"}, 1},
		{"neither", checkCmd{}, 2},
		{"both", checkCmd{settings: "a", config: "b"}, 2},
		{"configuration of the platform", checkCmd{config: writeFile(t, platformConfig)}, 0},
		{"configuration of the platform without a version", checkCmd{config: writeFile(t, `{}`)}, 1},
		{"configuration of another kind", checkCmd{config: writeFile(t, platformConfig), kind: "serve"}, 1},
		{"unknown kind", checkCmd{config: writeFile(t, platformConfig), kind: "json"}, 2},
		{"settings of a gateway with faults", checkCmd{gatewaySettings: writeFile(t, "[store]\n")}, 1},
		{"warning", checkCmd{config: writeFile(t, warned)}, 0},
		{"strict warning", checkCmd{config: writeFile(t, warned), strict: true}, 1},
		{"strict without warnings", checkCmd{config: writeFile(t, platformConfig), strict: true}, 0},
		{"against itself", checkCmd{config: writeFile(t, platformConfig), against: writeFile(t, platformConfig)}, 0},
		{"against a newer one", checkCmd{config: writeFile(t, platformConfig), against: writeFile(t, `{"version":"r2"}`)}, 1},
		{"against a broken one", checkCmd{config: writeFile(t, platformConfig), against: writeFile(t, `{`)}, 1},
		{"against no file", checkCmd{config: writeFile(t, platformConfig), against: "none"}, 1},
		{"against the store", checkCmd{config: writeFile(t, platformConfig), against: "store"}, 2},
		{"serve against a file", checkCmd{config: writeFile(t, goodConfig), against: writeFile(t, goodConfig)}, 2},
		{"unknown format", checkCmd{config: writeFile(t, platformConfig), format: "xml"}, 2},
		{"both settings", checkCmd{settings: "a", gatewaySettings: "b"}, 2},
	}
	for _, tc := range cases {
		require.Equal(t, tc.want, command{runner: &tc.cmd}.Execute(context.Background(), nil), tc.name)
	}
}

// Guards against output that is not the documented JSON, or that has a line break or another
// control character within a finding.
func TestCheckReportFormats(t *testing.T) {
	c := checkCmd{config: writeFile(t, `{"version":"r1","routes":{"a\nb\u001b":{"kind":7}},"services":{"s":{}}}`)}
	report, err := c.check()
	require.NoError(t, err)
	var text, encoded strings.Builder
	require.NoError(t, report.write(&text, formatText))
	require.Equal(t, c.config+": configuration of platform: findings: 1\nerror  routes.a b .kind  parse configuration: found number, expected a string\n", text.String())
	require.NoError(t, report.write(&encoded, formatJSON))
	var decoded checkReport
	require.NoError(t, json.Unmarshal([]byte(encoded.String()), &decoded))
	require.Equal(t, report, decoded)
}

// TestApplyExitCodes guards against an exit code that misreports the host's
// response to a change.
func TestApplyExitCodes(t *testing.T) {
	file := writeFile(t, goodConfig)
	cases := []struct {
		name, body string
		status     int
		want       subcommands.ExitStatus
	}{
		{"accepted", `{"state":"accepted","revision":2}`, 200, 0},
		{"pending", `{"state":"pending","revision":2}`, 202, 0},
		{"conflict", `{"object":{"kind":"zone","name":"a"},"winner_revision":2}`, 409, 3},
		{"bad token", `{}`, 401, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			}))
			defer server.Close()
			c := &applyCmd{client: client{addr: server.Listener.Addr().String()}, file: file, base: "1"}
			require.Equal(t, tc.want, command{runner: c}.Execute(context.Background(), nil))
		})
	}
	require.EqualValues(t, 2, command{runner: &applyCmd{}}.Execute(context.Background(), nil))
}

func TestExitCodeOfError(t *testing.T) {
	cases := []struct {
		name string
		err  error
		want subcommands.ExitStatus
	}{
		{"none", nil, 0},
		{"any other", eris.New("broken"), 1},
		{"printed before", errReported, 1},
		{"invalid arguments", usageError("give a file"), 2},
		{"conflict with another change", eris.Wrap(&config.Conflict{}, "conflict"), 3},
	}
	for _, tc := range cases {
		require.Equal(t, tc.want, exitCode(tc.err), tc.name)
	}
}

// TestDrainIgnoresEarlierResponses guards against a drain that never ends because
// an upstream that was unknown to a host in the first response stays in the list
// of unknown upstreams. Each response must replace the previous one.
func TestDrainIgnoresEarlierResponses(t *testing.T) {
	drainRequests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := `{"state":"accepted","revision":2}`
		if r.Method == http.MethodGet && r.URL.Path == "/v1/config" {
			body = "[[upstream]]\nname = \"u\"\nservice = \"s\"\nzone = \"z\"\naddr = \"127.0.0.1:1\"\nslots = 1\n"
		}
		if r.URL.Path == "/v1/drain" {
			drainRequests++
			body = map[bool]string{true: `{"outstanding":0,"taking":0,"unknown":["u"]}`, false: `{"outstanding":0,"taking":0}`}[drainRequests == 1]
		}
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	c := &drainCmd{client: client{addr: server.Listener.Addr().String()}, selector: "name=u", timeout: 2 * time.Second}
	require.EqualValues(t, 0, command{runner: c}.Execute(context.Background(), nil))
	require.Equal(t, 2, drainRequests)
}
