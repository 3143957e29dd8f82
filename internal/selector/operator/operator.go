// Package operator serves operators and their automation over HTTP.
package operator

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"
	"github.com/pelletier/go-toml/v2"
	"github.com/rs/zerolog"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry"
	"cairndock/internal/settings"
	"cairndock/internal/telemetry"
	"cairndock/internal/tlsfiles"
	"cairndock/internal/tomlfile"
)

const (
	// HeaderChange carries the submitter's own id of a change.
	HeaderChange = "Cairndock-Change"
	// maxConfig bounds a configuration document, in bytes.
	maxConfig = 64 << 20
	// defaultWait is how long a change waits to be in force everywhere.
	defaultWait       = 6 * time.Second
	longestWait       = time.Minute
	readHeaderTimeout = 10 * time.Second
	minToken          = 16
)

// Host is what operators look at and change.
type Host interface {
	Ready() bool
	View() *config.View
	Status() entry.Status
	Explain(service string, caller netip.Addr) (entry.Explanation, error)
	Apply(ctx context.Context, c config.Change, wait time.Duration) (entry.Applied, error)
	ChangeProgress(ctx context.Context, id string) (entry.Applied, bool, error)
	DrainProgress(ctx context.Context, names []string) entry.Drained
}

// Check notes the section's faults.
func Check(s settings.Operators, f *settings.Faults) {
	f.Require(s.Listen != "", "operators.listen", "must be set")
	f.Require(len(s.Token) >= minToken, "operators.token", "must have at least "+strconv.Itoa(minToken)+" characters")
	tlsfiles.Check("operators.tls", s.TLS, f)
}

// Server serves operators.
type Server struct {
	settings settings.Operators
	host     Host
	log      zerolog.Logger
	metrics  *telemetry.Metrics
	http     *http.Server
}

// New makes a server.
func New(s settings.Operators, h Host, log zerolog.Logger, m *telemetry.Metrics) *Server {
	srv := &Server{settings: s, host: h, log: log, metrics: m}
	e := echo.New()
	e.HideBanner = true
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", srv.readyz)
	e.GET("/metrics", srv.serveMetrics)
	e.GET("/v1/status", func(c echo.Context) error { return c.JSON(http.StatusOK, h.Status()) })
	e.GET("/v1/explain", srv.explain)
	e.GET("/v1/config", srv.getConfig)
	e.PUT("/v1/config", srv.putConfig, srv.authorized)
	e.GET("/v1/changes/:id", srv.change)
	e.GET("/v1/drain", srv.drain)
	srv.http = &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
	return srv
}

// Serve serves a listener until Close, over mutual TLS where set.
func (s *Server) Serve(l net.Listener) error {
	if s.settings.TLS.Enabled() {
		files, err := tlsfiles.Open(s.settings.TLS)
		if err != nil {
			return err
		}
		l = tls.NewListener(l, files.Server())
	}
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close breaks all connections.
func (s *Server) Close() error { return s.http.Close() }

// authorized lets a request pass that bears the token.
func (s *Server) authorized(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		given, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(given), []byte(s.settings.Token)) != 1 {
			c.Response().Header().Set("WWW-Authenticate", "Bearer")
			return echo.NewHTTPError(http.StatusUnauthorized, "a bearer token is needed")
		}
		return next(c)
	}
}

func (s *Server) readyz(c echo.Context) error {
	if !s.host.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *Server) serveMetrics(c echo.Context) error {
	c.Response().Header().Set("Content-Type", "text/plain; version=0.0.4")
	c.Response().WriteHeader(http.StatusOK)
	s.metrics.Write(c.Response())
	return nil
}

func (s *Server) explain(c echo.Context) error {
	addr, err := netip.ParseAddr(c.QueryParam("caller"))
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "caller: must be an IP address")
	}
	e, err := s.host.Explain(c.QueryParam("service"), addr)
	if err != nil {
		return echo.NewHTTPError(http.StatusNotFound, "service: "+err.Error())
	}
	return c.JSON(http.StatusOK, e)
}

func (s *Server) getConfig(c echo.Context) error {
	doc := s.host.View().State().Document()
	body, err := toml.Marshal(doc)
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", strconv.Quote(strconv.FormatUint(s.host.View().Revision(), 10)))
	return c.Blob(http.StatusOK, "application/toml", body)
}

// Faulty is the answer to a document that was refused.
type Faulty struct {
	Errors []string `json:"errors"`
}

func (s *Server) putConfig(c echo.Context) error {
	change, faulty := s.readChange(c)
	if faulty != nil {
		return c.JSON(faulty.Code, Faulty{faultLines(faulty.Internal, faulty)})
	}
	wait, err := waitOf(c)
	if err != nil {
		return c.JSON(http.StatusBadRequest, Faulty{[]string{"wait: must be a duration"}})
	}
	applied, err := s.host.Apply(c.Request().Context(), change, wait)
	var conflict *config.Conflict
	var faultyKey tomlfile.KeyError
	switch {
	case errors.As(err, &conflict):
		return c.JSON(http.StatusConflict, conflict)
	case errors.As(err, &faultyKey):
		return c.JSON(http.StatusBadRequest, Faulty{faultLines(err, err)})
	case err != nil:
		s.log.Warn().Err(err).Str("change", change.ID).Msg("operator: outcome of a change is not known")
		return c.JSON(http.StatusServiceUnavailable, Faulty{[]string{
			"the platform can't be asked; whether the change was accepted is not known; send it again with the same id: " + change.ID,
		}})
	}
	s.log.Info().Str("change", change.ID).Uint64("revision", applied.Revision).Str("state", applied.State).
		Msg("operator: change accepted")
	status := http.StatusOK
	if applied.State == entry.StatePending {
		status = http.StatusAccepted
	}
	return c.JSON(status, applied)
}

func waitOf(c echo.Context) (time.Duration, error) {
	text := c.QueryParam("wait")
	if text == "" {
		return defaultWait, nil
	}
	d, err := time.ParseDuration(text)
	return max(0, min(d, longestWait)), err
}

// readChange reads a document and the version it was based on.
func (s *Server) readChange(c echo.Context) (config.Change, *echo.HTTPError) {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, maxConfig+1))
	if err != nil || len(body) > maxConfig {
		return config.Change{}, echo.NewHTTPError(http.StatusRequestEntityTooLarge, "the document can't be read or is too large")
	}
	doc, err := config.ParseDocument(body)
	if err != nil {
		return config.Change{}, echo.NewHTTPError(http.StatusBadRequest).SetInternal(err)
	}
	base, known, err := ifMatch(c.Request().Header.Get("If-Match"))
	if err != nil {
		return config.Change{}, echo.NewHTTPError(http.StatusBadRequest, "If-Match: must be a revision")
	}
	if !known && len(doc.Versions) == 0 {
		return config.Change{}, echo.NewHTTPError(http.StatusPreconditionRequired,
			"If-Match: must name the revision that the document is based on, or versions each object's")
	}
	id := c.Request().Header.Get(HeaderChange)
	if id == "" {
		id = ulid.Make().String()
	}
	change, err := doc.Change(id, base)
	if err != nil {
		return change, echo.NewHTTPError(http.StatusBadRequest).SetInternal(err)
	}
	if len(change.Edits) == 0 {
		return change, echo.NewHTTPError(http.StatusBadRequest, "the document names no object")
	}
	return change, nil
}

func ifMatch(text string) (uint64, bool, error) {
	if text == "" {
		return 0, false, nil
	}
	rev, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	return rev, true, err
}

// faultLines splits joined errors into one line each.
func faultLines(err, otherwise error) []string {
	if err == nil {
		err = otherwise
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		if text, ok := he.Message.(string); ok {
			return []string{text}
		}
	}
	return strings.Split(err.Error(), "\n")
}

func (s *Server) change(c echo.Context) error {
	applied, found, err := s.host.ChangeProgress(c.Request().Context(), c.Param("id"))
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the platform can't be asked")
	}
	if !found {
		return echo.NewHTTPError(http.StatusNotFound, "no change with this id was accepted")
	}
	return c.JSON(http.StatusOK, applied)
}

func (s *Server) drain(c echo.Context) error {
	names := strings.Split(c.QueryParam("upstreams"), ",")
	return c.JSON(http.StatusOK, s.host.DrainProgress(c.Request().Context(), names))
}
