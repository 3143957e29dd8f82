package operator

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"
	"github.com/pelletier/go-toml/v2"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/configsync"
	"cairndock/internal/selector/server/abort"
	"cairndock/internal/tomlfile"
)

const (
	// HeaderChange is the header with the change id that the submitter chose. A
	// change that is sent again with the same id is accepted only once.
	HeaderChange = "Cairndock-Change"
	// maxDocumentBytes limits a configuration document to about three times the
	// 20.1 MB of TOML of the planned size (standin.PlannedSize).
	maxDocumentBytes = 64 << 20
	// defaultWait is how long a request waits for its change to be in force
	// everywhere, unless the request sets a duration. It is one second above the
	// 5 s after which an unreachable zone is no longer waited for
	// (docs/design/configuration.md).
	defaultWait = 6 * time.Second
	// maxWait limits the wait that a request may set.
	maxWait = time.Minute
)

// rejected returns the error response to a change that was not accepted. Its
// body lists every problem.
func rejected(status int, problems ...string) error {
	return echo.NewHTTPError(status, struct {
		Errors []string `json:"errors"`
	}{problems})
}

// invalid returns the error response to a change whose faults are joined in
// err, one per line.
func invalid(err error) error {
	return rejected(http.StatusBadRequest, strings.Split(err.Error(), "\n")...)
}

func (h *handler) getConfig(c echo.Context) error {
	view := h.host.View()
	body, err := toml.Marshal(view.State().Document())
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", strconv.Quote(strconv.FormatUint(view.Revision(), 10)))
	return c.Blob(http.StatusOK, "application/toml", body)
}

func (h *handler) putConfig(c echo.Context) error {
	change, err := readChange(c)
	if err != nil {
		return err
	}
	wait, err := parseWait(c.QueryParam("wait"))
	if err != nil {
		return rejected(http.StatusBadRequest, "wait: must be a duration")
	}
	applied, err := h.host.Apply(c.Request().Context(), change, wait)
	var conflict *config.Conflict
	var keyErr tomlfile.KeyError
	switch {
	case errors.As(err, &conflict):
		return c.JSON(http.StatusConflict, conflict)
	case errors.As(err, &keyErr):
		return invalid(err)
	case err != nil:
		if abort.Aborted(c.Request().Context()) {
			abort.Cut(c.Response())
		}
		h.log.Warn().Err(err).Str("change", change.ID).Msg("operator: outcome of a change is unknown")
		return rejected(http.StatusServiceUnavailable, "the platform can't be reached; "+
			"whether the change was accepted is not known; send it again with the same id: "+change.ID)
	}
	h.log.Info().Str("change", change.ID).Uint64("revision", applied.Revision).Str("state", applied.State).
		Msg("operator: change accepted")
	status := http.StatusOK
	if applied.State == configsync.StatePending {
		status = http.StatusAccepted
	}
	return c.JSON(status, applied)
}

// parseWait returns how long to wait for a change to be in force: the duration
// in the request, limited to the range from 0 to maxWait, or defaultWait if the
// request has none.
func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return defaultWait, nil
	}
	d, err := time.ParseDuration(text)
	return max(0, min(d, maxWait)), err
}

// readChange reads a document and the versions that it is based on. The returned
// error is the response to send.
func readChange(c echo.Context) (config.Change, error) {
	var none config.Change
	r := c.Request()
	body, err := readDocument(c)
	if err != nil {
		return none, err
	}
	doc, err := config.ParseDocument(body)
	if err != nil {
		return none, invalid(err)
	}
	base, hasBase, err := parseIfMatch(r.Header.Get("If-Match"))
	if err != nil {
		return none, rejected(http.StatusBadRequest, "If-Match: must be a revision")
	}
	if !hasBase && len(doc.Versions) == 0 {
		return none, rejected(http.StatusPreconditionRequired,
			"If-Match: must name the revision that the document is based on, or versions each object's")
	}
	id := r.Header.Get(HeaderChange)
	if id == "" {
		id = ulid.Make().String()
	}
	change, err := doc.Change(id, base)
	if err != nil {
		return none, invalid(err)
	}
	if len(change.Edits) == 0 {
		return none, rejected(http.StatusBadRequest, "the document names no object")
	}
	return change, nil
}

// readDocument reads the whole body, up to maxDocumentBytes. The returned error
// is the response to send.
func readDocument(c echo.Context) ([]byte, error) {
	r := c.Request()
	defer abort.EndReads(c.Response(), r)()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxDocumentBytes+1))
	switch {
	case err != nil && abort.Aborted(r.Context()):
		abort.Cut(c.Response())
		return nil, rejected(http.StatusServiceUnavailable, "the host is stopping; the change was not accepted")
	case err != nil || len(body) > maxDocumentBytes:
		return nil, rejected(http.StatusRequestEntityTooLarge, "the document can't be read or is too large")
	}
	return body, nil
}

// parseIfMatch returns the revision in an If-Match header, and whether the header
// is present.
func parseIfMatch(header string) (uint64, bool, error) {
	if header == "" {
		return 0, false, nil
	}
	rev, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	return rev, true, err
}

func (h *handler) changeProgress(c echo.Context) error {
	id := c.Param("id")
	applied, found, err := h.host.ChangeProgress(c.Request().Context(), id)
	if err != nil {
		h.log.Warn().Err(err).Str("change", id).Msg("operator: progress of a change is unknown")
		return echo.NewHTTPError(http.StatusServiceUnavailable, "the platform can't be reached")
	}
	if !found {
		return echo.NewHTTPError(http.StatusNotFound, "no change with this id was accepted")
	}
	return c.JSON(http.StatusOK, applied)
}
