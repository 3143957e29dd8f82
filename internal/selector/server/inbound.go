package server

import (
	"net"
	"time"

	"github.com/rs/zerolog"

	"cairndock/internal/httpserver"
	"cairndock/internal/resources"
	"cairndock/internal/telemetry"
	"cairndock/internal/verdict"
)

// maxRefusalLines is the maximum number of log lines per second about refused headers and
// evicted connections.
const maxRefusalLines = 10

// inboundOptions returns the options that bound what clients take of a host. Listeners with
// these options share the bounds. Each has the connections of a listener that is not for
// clients.
func inboundOptions(l resources.Limits, log zerolog.Logger, m *telemetry.Metrics) httpserver.Options {
	budget := httpserver.NewBudget(l.ConnsBytes(), l.Conns())
	m.Gauge("cairndock_connections_open", func() float64 { return float64(budget.Usage().Conns) })
	m.Gauge("cairndock_connections_bytes", func() float64 { return float64(budget.Usage().Bytes) })
	log = log.Sample(&zerolog.BurstSampler{Burst: maxRefusalLines, Period: time.Second})
	return httpserver.Options{
		Budget: budget, MaxConns: l.OtherConns(),
		RefusalHeader: map[string]string{verdict.Header: verdict.NotRun.String()},
		Refused: func(client net.Addr, reason httpserver.Refusal) {
			m.Count(`cairndock_refusals_total{reason="` + reason.String() + `",verdict="` + verdict.NotRun.String() + `"}`)
			log.Warn().Stringer("client", client).Stringer("reason", reason).Msg("serve: header refused before it was complete")
		},
		Evicted: func(client net.Addr) {
			m.Count("cairndock_connections_evicted_total")
			log.Warn().Stringer("client", client).Msg("serve: connection closed for others, its client kept the host waiting")
		},
	}
}
