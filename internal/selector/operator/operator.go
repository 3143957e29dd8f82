// Package operator serves the HTTP API for operators and their automation:
// health checks, metrics, the host's status, the explanation of a routing
// decision, and the configuration with the progress of its changes. It
// translates between HTTP and the Host, and keeps no state.
//
// Only writes require the token, because the listener is meant for an internal
// network or for mutual TLS.
package operator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"cairndock/internal/httpserver"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry"
	"cairndock/internal/selector/entry/configsync"
	"cairndock/internal/selector/entry/drain"
	"cairndock/internal/selector/server/abort"
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/selector/tlsfiles"
	"cairndock/internal/settings"
	"cairndock/internal/telemetry"
)

const (
	// headerTimeout limits reading a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes an operator's connection that has no request in flight.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits a request's headers, in bytes.
	maxHeaderBytes = 16 << 10
	// minTokenLength is the minimum length of the token, in bytes.
	minTokenLength = 16
)

// Host is the state and configuration that operators read and change.
type Host interface {
	// Ready reports whether the host is ready for clients' requests.
	Ready() bool
	// View returns the configuration in force.
	View() *config.View
	// Status returns the host's own state and its view of the other zones.
	Status() entry.Status
	// Explain returns how a request of a client at the given address would be
	// routed. It fails if the service is unknown.
	Explain(service string, caller netip.Addr) (entry.Explanation, error)
	// Apply appends a change to the log and waits, at most for the given
	// duration, until the change is in force everywhere. It returns the errors
	// of config.Log.Append.
	Apply(ctx context.Context, c config.Change, wait time.Duration) (configsync.Applied, error)
	// ChangeProgress returns the progress of an accepted change, and whether a
	// change with this id was accepted.
	ChangeProgress(ctx context.Context, id string) (configsync.Applied, bool, error)
	// DrainProgress returns the requests that all hosts together still have
	// outstanding at the named upstreams.
	DrainProgress(ctx context.Context, names []string) drain.Drained
}

// Check adds the faults of the settings' section [operators] to f.
func Check(s servesettings.Operators, f *settings.Faults) {
	f.Require(s.Listen != "", "operators.listen", "must be set")
	f.Require(len(s.Token) >= minTokenLength, "operators.token", "must have at least "+strconv.Itoa(minTokenLength)+" characters")
	tlsfiles.Check("operators.tls", s.TLS, f)
}

// handler serves operators' requests.
type handler struct {
	settings servesettings.Operators
	host     Host
	log      zerolog.Logger
	metrics  *telemetry.Metrics
}

// New returns a server that does not listen yet. If the server aborts a request
// that is waiting for its change to be in force everywhere, the response reports
// the change as pending.
//
// The options have the bounds that the server shares with others.
func New(s servesettings.Operators, host Host, log zerolog.Logger, m *telemetry.Metrics, o httpserver.Options) *abort.Server {
	h := &handler{settings: s, host: host, log: log, metrics: m}
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", h.readyz)
	e.GET("/metrics", h.writeMetrics)
	e.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, host.Status()) })
	e.GET("/v1/explain", h.explain)
	e.GET("/v1/config", h.getConfig)
	e.PUT("/v1/config", h.putConfig, h.requireToken)
	e.GET("/v1/changes/:id", h.changeProgress)
	e.GET("/v1/drain", h.drainProgress)
	o.HTTP = &http.Server{Handler: e, MaxHeaderBytes: maxHeaderBytes}
	o.Limits = func() httpserver.Limits {
		return httpserver.Limits{Header: headerTimeout, Idle: idleTimeout, HeaderBytes: maxHeaderBytes}
	}
	return abort.New(o)
}

// requireToken rejects a request that does not carry the configured token.
func (h *handler) requireToken(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(token), []byte(h.settings.Token)) != 1 {
			c.Response().Header().Set("WWW-Authenticate", "Bearer")
			return echo.NewHTTPError(http.StatusUnauthorized, "a bearer token is needed")
		}
		return next(c)
	}
}

func (h *handler) readyz(c echo.Context) error {
	if !h.host.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (h *handler) writeMetrics(c echo.Context) error {
	c.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
	c.Response().WriteHeader(http.StatusOK)
	h.metrics.Write(c.Response())
	return nil
}

func (h *handler) explain(c echo.Context) error {
	addr, err := netip.ParseAddr(c.QueryParam("caller"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "caller: must be an IP address")
	}
	e, err := h.host.Explain(c.QueryParam("service"), addr)
	if err != nil {
		return echo.NewHTTPError(http.StatusNotFound, "service: "+err.Error())
	}
	return c.JSON(http.StatusOK, e)
}

func (h *handler) drainProgress(c echo.Context) error {
	names := strings.Split(c.QueryParam("upstreams"), ",")
	return c.JSON(http.StatusOK, h.host.DrainProgress(c.Request().Context(), names))
}
