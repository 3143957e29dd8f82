package routing_test

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/eventlog"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/routing"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/telemetry"
)

const warmUp = time.Minute

// decoder decodes "config VERSION", "evacuate ZONE", "upstream ZONE" and "draining ZONE". The
// last one, and "started ZONE", have a start time.
type decoder struct{}

func (decoder) OperatorRow(_ string, value []byte) (routing.OperatorRow, error) {
	kind, text, _ := strings.Cut(string(value), " ")
	switch kind {
	case "config":
		version, err := strconv.ParseInt(text, 10, 64)
		services := []route.Service{{Name: "s", WarmUp: warmUp}}
		return routing.OperatorRow{Table: route.NewTable(version, nil, services, route.Limits{})}, err
	case "evacuate":
		return routing.OperatorRow{Evacuate: text}, nil
	default:
		return routing.OperatorRow{}, eris.New("unknown row")
	}
}

func (decoder) Upstream(key string, value []byte) (upstream.Registration, error) {
	kind, zone, _ := strings.Cut(string(value), " ")
	r := upstream.Registration{ID: key, Service: "s", Zone: zone}
	switch kind {
	case "upstream":
	case "started":
		r.StartedAt = 10
	case "draining":
		r.StartedAt, r.Draining = 10, true
	default:
		return upstream.Registration{}, eris.New("unknown row")
	}
	return r, nil
}

func (decoder) Rollout(string, []byte) (rollout.Record, error) {
	return rollout.Record{}, eris.New("unknown row")
}

// host is the state of a host with its sinks and its log.
type host struct {
	state *routing.State
	log   *eventlog.Log
	lines *bytes.Buffer
}

func newHost() host {
	lines := &bytes.Buffer{}
	m := telemetry.NewMetrics()
	log := eventlog.New(lines, eventlog.Options{Host: "h", Level: zerolog.InfoLevel, Sampling: eventlog.DefaultSampling(), Metrics: m})
	return host{state: routing.New(decoder{}, log, m), log: log, lines: lines}
}

// logged closes the log and returns its lines.
func (h host) logged() string {
	h.log.Close()
	return h.lines.String()
}

func (h host) operator(rows ...watch.Row) {
	h.state.OperatorSink().Apply(watch.Update{Rows: rows})
}

func (h host) upstreams(u watch.Update) { h.state.UpstreamSink().Apply(u) }

func row(key, value string) watch.Row { return watch.Row{Key: key, Value: []byte(value)} }

func deleted(key string) watch.Row { return watch.Row{Key: key, Deleted: true} }

// serving returns the IDs of the upstreams that may receive requests.
func (h host) serving() []string {
	ids := []string{}
	for _, u := range h.state.Upstreams().Service("s") {
		ids = append(ids, u.ID)
	}
	return ids
}

func TestAHostIsReadyWithAConfigurationAndAFullListingOfUpstreams(t *testing.T) {
	config := func(h host) { h.operator(row("config", "config 1")) }
	change := func(h host) { h.upstreams(watch.Update{Rows: []watch.Row{row("i-1", "upstream z")}}) }
	full := func(h host) { h.upstreams(watch.Update{Full: true}) }
	for _, c := range []struct {
		rule  string
		steps []func(host)
		ready bool
	}{
		{"no data", nil, false},
		{"only a configuration", []func(host){config}, false},
		{"only upstreams", []func(host){full}, false},
		{"a change is not a full listing", []func(host){config, change}, false},
		{"an empty full listing is sufficient", []func(host){config, full}, true},
		{"in the other order", []func(host){full, config}, true},
	} {
		t.Run(c.rule, func(t *testing.T) {
			h := newHost()
			defer h.log.Close()
			for _, step := range c.steps {
				step(h)
			}
			require.Equal(t, c.ready, h.state.Ready())
		})
	}
}

func TestAnOperatorsRowThatCannotBeDecodedKeepsTheLastValidOne(t *testing.T) {
	h := newHost()
	h.operator(row("config", "config 1"), row("away", "evacuate y"))
	h.upstreams(watch.Update{Full: true, Rows: []watch.Row{row("i-1", "upstream z"), row("i-2", "upstream y")}})
	for range 2 {
		require.EqualValues(t, 1, h.state.Config().Version)
		require.Equal(t, []string{"i-1"}, h.serving())
		h.operator(row("config", "?"), row("away", "?"))
	}
	require.Equal(t, 2*2, strings.Count(h.logged(), `"event":"bad-row"`))
}

// Another writer replaced the row of a served upstream by a row that names no upstream,
// and added another such row. The upstream kept getting requests, although no row in the
// table named it any more.
func TestAnUpstreamWhoseRowCannotBeDecodedIsNotUsedUntilItCan(t *testing.T) {
	h := newHost()
	h.operator(row("config", "config 1"))
	h.upstreams(watch.Update{Full: true, Rows: []watch.Row{row("i-1", "upstream z"), row("i-2", "upstream z")}})
	require.Equal(t, []string{"i-1", "i-2"}, h.serving())
	h.upstreams(watch.Update{Rows: []watch.Row{row("i-0", "?"), row("i-1", "?"), row("i-3", "upstream z")}})
	require.Equal(t, []string{"i-2", "i-3"}, h.serving(), "the other rows of the update are applied")
	h.upstreams(watch.Update{Rows: []watch.Row{row("i-1", "upstream z")}})
	require.Equal(t, []string{"i-1", "i-2", "i-3"}, h.serving())
	u, _ := h.state.Upstreams().Get("i-1")
	require.False(t, u.Cold(time.Now()), "its process has not restarted")
	require.Equal(t, 2, strings.Count(h.logged(), `"event":"bad-row"`))
}

// A draining upstream got requests again, for some seconds, after another writer had overwritten
// its row with one without a start time.
func TestARowOfAnotherWriterDoesNotEndADrain(t *testing.T) {
	h := newHost()
	h.operator(row("config", "config 1"))
	h.upstreams(watch.Update{Full: true, Rows: []watch.Row{row("i-1", "started z"), row("i-2", "started z")}})
	h.upstreams(watch.Update{Rows: []watch.Row{row("i-1", "draining z")}})
	require.Equal(t, []string{"i-2"}, h.serving())
	h.upstreams(watch.Update{Rows: []watch.Row{row("i-1", "upstream z"), row("i-2", "upstream z")}})
	require.Empty(t, h.serving(), "neither row names an upstream")
	h.upstreams(watch.Update{Rows: []watch.Row{row("i-1", "draining z"), row("i-2", "started z")}})
	require.Equal(t, []string{"i-2"}, h.serving(), "the upstreams' own rows apply at once")
	u, _ := h.state.Upstreams().Get("i-2")
	require.False(t, u.Cold(time.Now()), "its process has not restarted")
	require.Equal(t, 2, strings.Count(h.logged(), `"event":"bad-row"`))
}

func TestAConfigurationIsOnlyReplacedByANewerOne(t *testing.T) {
	h := newHost()
	defer h.log.Close()
	for _, step := range []struct {
		value string
		want  int64
	}{{"config 5", 5}, {"config 4", 5}, {"config 5", 5}, {"config 7", 7}} {
		h.operator(row("config", step.value))
		require.Equal(t, step.want, h.state.Config().Version, step.value)
	}
	h.operator(deleted("config"))
	require.EqualValues(t, 7, h.state.Config().Version, "a deleted configuration stays in force")
}

func TestAnEvacuationLastsUntilItsRowIsDeleted(t *testing.T) {
	h := newHost()
	defer h.log.Close()
	h.upstreams(watch.Update{Full: true, Rows: []watch.Row{row("i-1", "upstream z"), row("i-2", "upstream y")}})
	h.operator(row("a", "evacuate z"), row("b", "evacuate y"))
	require.Empty(t, h.serving())
	h.operator(deleted("a"))
	require.Equal(t, []string{"i-1"}, h.serving())
	h.operator(row("config", "config 1"))
	require.Equal(t, []string{"i-1"}, h.serving(), "another row does not change the evacuation")
}

func TestAnUpstreamThatAppearsAfterTheFirstFullListingIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost()
		defer h.log.Close()
		h.operator(row("config", "config 1"))
		h.upstreams(watch.Update{Full: true, Rows: []watch.Row{row("i-1", "upstream z")}})
		h.upstreams(watch.Update{Rows: []watch.Row{row("i-2", "upstream z")}})
		first, _ := h.state.Upstreams().Get("i-1")
		second, _ := h.state.Upstreams().Get("i-2")
		require.Zero(t, first.ColdUntil)
		require.Equal(t, time.Now().Add(warmUp), second.ColdUntil)
	})
}

func TestAnEntryThatLapsesDuringAStoreOutageHasTimeToReturn(t *testing.T) {
	for _, c := range []struct {
		rule string
		// unavailable is whether the store had been unavailable, returns whether the entry
		// is written again.
		unavailable, returns bool
		during, after        []string
	}{
		{"the store was available: removed at once", false, false, []string{}, []string{}},
		{"the entry does not return: removed after the grace period", true, false, []string{"i-1"}, []string{}},
		{"the entry returns: kept", true, true, []string{"i-1"}, []string{"i-1"}},
	} {
		t.Run(c.rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHost()
				defer h.log.Close()
				h.upstreams(watch.Update{Full: true, Rows: []watch.Row{row("i-1", "upstream z")}})
				lapse := watch.Update{Rows: []watch.Row{deleted("i-1")}}
				if c.unavailable {
					lapse.StoreReturned = time.Now()
				}
				h.upstreams(lapse)
				time.Sleep(upstream.LapseGrace - time.Millisecond)
				require.Equal(t, c.during, h.serving())
				if c.returns {
					h.upstreams(watch.Update{Rows: []watch.Row{row("i-1", "upstream z")}})
				}
				time.Sleep(time.Millisecond)
				synctest.Wait()
				require.Equal(t, c.after, h.serving())
			})
		})
	}
}
