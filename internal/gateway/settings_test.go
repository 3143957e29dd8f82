package gateway_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway"
)

const minSettings = `
[host]
name = "h"
zone = "z"
region = "r"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
directory = "127.0.0.1:3"
peers = "127.0.0.1:4"
[store]
address = "127.0.0.1:5"
`

func load(t *testing.T, text string) (gateway.Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return gateway.LoadSettings(path)
}

// A platform's settings file contains only the bounds that the platform enforces.
func TestMissingKeysHaveDefaults(t *testing.T) {
	g, err := load(t, minSettings)
	require.NoError(t, err)
	require.Positive(t, g.Limits.RetryRatio)
	require.Positive(t, g.Limits.WarmUpOvershoot)
	require.Positive(t, g.Limits.DirectoryTTL)
	require.Equal(t, 65536, g.Limits.MaxResponseHeadBytes)
	require.EqualValues(t, 67108864, g.Limits.MaxResponseBodyBytes)
	require.Positive(t, g.Stop.Grace)
	require.Equal(t, gateway.LogSettings{OneIn: 100, ServedPerSecond: 10, FailedPerSecond: 50}, g.Log)
	require.Equal(t, 2*time.Second, g.Limits.Staleness())
}

func TestAZeroInTheFileIsKept(t *testing.T) {
	g, err := load(t, minSettings+"[limits]\nretry_ratio = 0\n")
	require.NoError(t, err)
	require.Zero(t, g.Limits.RetryRatio)
}

func TestTheMemoryIsChecked(t *testing.T) {
	g, err := load(t, minSettings+"[resources]\nmemory_mb = 284\n")
	require.NoError(t, err)
	require.EqualValues(t, 284, g.Resources.MemoryMB)
	for _, value := range []string{"-1", "1073741825"} {
		_, err := load(t, minSettings+"[resources]\nmemory_mb = "+value+"\n")
		require.ErrorContains(t, err, "resources.memory_mb")
	}
}

func TestBoundsOfClientAccountsAreChecked(t *testing.T) {
	g, err := load(t, minSettings+"[limits]\nstrict_revocation = true\nrevoke_within = \"3s\"\nquota_window = \"4s\"\nquota_overshoot = 0.1\nquota_slack = 20\n")
	require.NoError(t, err)
	require.True(t, g.Limits.StrictRevocation)
	require.Equal(t, 3*time.Second, time.Duration(g.Limits.RevokeWithin))
	for _, faulty := range []string{`revoke_within = "0s"`, `quota_window = "0s"`, "quota_overshoot = -0.1", "quota_slack = -1"} {
		_, err := load(t, minSettings+"[limits]\n"+faulty+"\n")
		require.ErrorContains(t, err, "limits."+strings.Fields(faulty)[0])
	}
}

// Guards against a rule that is on without a setting, or that another setting turns on.
func TestRulesOfBalancingAreOffByDefault(t *testing.T) {
	for text, want := range map[string]gateway.BalanceSettings{
		"":                              {ZoneCopiesAbove: 8192},
		"[balance]":                     {ZoneCopiesAbove: 8192},
		"[balance]\neven_load = true":   {EvenLoad: true, ZoneCopiesAbove: 8192},
		"[balance]\nzone_copies = true": {ZoneCopies: true, ZoneCopiesAbove: 8192},
	} {
		g, err := load(t, minSettings+text+"\n")
		require.NoError(t, err)
		require.Equal(t, want, g.Balance, text)
	}
}

func TestStalenessIsTheTightestBound(t *testing.T) {
	for text, want := range map[string]time.Duration{
		`apply_within = "3s"`: 3 * time.Second,
		"apply_within = \"3s\"\ndrain_within = \"1500ms\"\nevacuate_within = \"5s\"": 1500 * time.Millisecond,
		"drain_within = \"3s\"\nevacuate_within = \"1s\"":                            time.Second,
	} {
		g, err := load(t, minSettings+"[limits]\n"+text+"\n")
		require.NoError(t, err)
		require.Equal(t, want, g.Limits.Staleness(), text)
	}
}

func TestEveryFaultNamesItsKey(t *testing.T) {
	for key, text := range map[string]string{
		"host.name":              "[host]\nzone = \"z\"",
		"limits.apply_within":    minSettings + "[limits]\napply_within = \"10ms\"",
		"limits.evacuate_within": minSettings + "[limits]\nevacuate_within = \"10ms\"",
		"limits.retry_window":    minSettings + "[limits]\nretry_window = \"0s\"",
		"limits.retries":         minSettings + "[limits]\nretries = 3",
		"limits.max_response_head_bytes: must be from 4096 to 1048576": minSettings + "[limits]\nmax_response_head_bytes = 4095",
		"limits.max_response_head_bytes":                               minSettings + "[limits]\nmax_response_head_bytes = 1048577",
		"limits.max_response_body_bytes":                               minSettings + "[limits]\nmax_response_body_bytes = 0",
		"log.one_in":                                                   minSettings + "[log]\none_in = 0",
		"log.served_per_second":                                        minSettings + "[log]\nserved_per_second = -1",
		"log.failed_per_second":                                        minSettings + "[log]\nfailed_per_second = -1",
		"stop.grace":                                                   minSettings + "[stop]\ngrace = \"-1s\"",
		"balance.spread":                                               minSettings + "[balance]\nspread = true",
		"balance.even_load":                                            minSettings + "[balance]\neven_load = \"yes\"",
		"balance.zone_copies_above: must not be below 0":               minSettings + "[balance]\nzone_copies_above = -1",
		"balance.zone_copies":                                          minSettings + "[balance]\nzone_copies = 1",
	} {
		_, err := load(t, text)
		require.ErrorContains(t, err, key)
	}
}
