package server

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/servesettings"
	"cairndock/internal/settings"
)

// TestPrepareReportsAllFaults checks that the error of Prepare contains the
// key of each missing or invalid value.
func TestPrepareReportsAllFaults(t *testing.T) {
	s := servesettings.Settings{
		Callers:   servesettings.Callers{MaxBody: 1 << 30},
		Operators: servesettings.Operators{Token: "short"},
		Telemetry: settings.Telemetry{LogLevel: "loud", Traces: "otlp", TraceShare: 2},
		Peers:     servesettings.Peers{TLS: servesettings.TLS{Key: "only"}},
	}
	err := Prepare(&s)
	require.Error(t, err)
	lines := strings.Split(err.Error(), "\n")
	for _, key := range []string{
		"host.name", "host.zone", "host.region", "callers.listen", "callers.max_body", "operators.listen", "operators.token",
		"peers.listen", "peers.tls.certificate", "peers.tls.ca", "platform.table_endpoint", "platform.object_endpoint",
		"platform.hosts_url", "platform.access_key", "platform.secret_key",
		"telemetry.log_level", "telemetry.otlp_endpoint", "telemetry.trace_share",
	} {
		found := false
		for _, line := range lines {
			found = found || strings.HasPrefix(line, key+": ")
		}
		require.True(t, found, "%s in %v", key, lines)
	}
}
