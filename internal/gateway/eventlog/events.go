package eventlog

import (
	"time"

	"github.com/rs/zerolog"

	"cairndock/internal/gateway/outlier"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
	"cairndock/internal/poison"
)

// Values of the field "event" that readers of the log select by.
const (
	// EventAttempt is one attempt of a request at one upstream.
	EventAttempt = "attempt"
	// EventFinal is the response that the client got, one for each request.
	EventFinal = "final"
	// EventIndirect is a request that a host without a path to upstreams sends through
	// another host.
	EventIndirect = "indirect"
	// EventUpstream is a state change of one upstream.
	EventUpstream = "upstream"
	// EventEjected is an upstream that is ejected for a time.
	EventEjected = "ejected"
	// EventNotice is an upstream's notice about its own state in a response.
	EventNotice = "notice"
	// EventWarmUp is a request that was sent to a cold upstream.
	EventWarmUp = "warm-up"
	// EventStalled is a period in which the process got no CPU time.
	EventStalled = "stalled"
	// EventLost is a dependency that no longer responds.
	EventLost = "lost"
)

// OutcomeAnswered is the outcome of an attempt whose response was accepted. The
// outcome of a failed attempt is the reason of its failure (verdict.Reason).
const OutcomeAnswered = "answered"

// Attempt describes one attempt of a request at one upstream.
type Attempt struct {
	// Request is the id that the client gave the request.
	Request  string
	Route    string
	Service  string
	Upstream string
	Zone     string
	// Key is the request's affinity key, or empty.
	Key string
	// Number counts the request's attempts from 1.
	Number int
	// Config is the version of the operator configuration in effect.
	Config int64
	// Load is the upstream's load as a multiple of its capacity, estimated by this
	// host when it chose the upstream.
	Load float64
	// LoadAge is the age of the upstream's last load report. It is -1, which is
	// logged as 0 ms, if the upstream never sent one.
	LoadAge time.Duration
	// Capacity is the number of requests that the upstream runs concurrently.
	Capacity int
	// Rank is the upstream's position in the key's preference list, from 0.
	Rank int
	// Cold is set if the upstream was warming up.
	Cold bool
	// Outcome is OutcomeAnswered or the reason of the failure.
	Outcome string
	// Status is the upstream's HTTP status. It is 0 without a response, or if the
	// response was rejected for the reason in Outcome.
	Status int
	// Failed is set unless the response was accepted.
	Failed bool
	Took   time.Duration
	// Detail is one sentence about the failure.
	Detail string
	// Unacknowledged is the number of bytes of the request that the upstream's kernel had not
	// acknowledged when the request was given up; 0 if it is not known.
	Unacknowledged int
	// Withheld says why preferred upstreams were skipped; empty if none were.
	Withheld string
	// PassedOver describes the upstream that was passed over because of its expected load;
	// empty if none was.
	PassedOver string
	// Caller is the client's IP address, and Fingerprint identifies repetitions of
	// the request. Both are empty unless the upstream's connection was closed
	// without a response.
	Caller, Fingerprint string
}

// Attempt logs the result of an attempt.
func (l *Log) Attempt(a Attempt) {
	e := l.requestEvent(EventAttempt, a.Request, a.Failed)
	if e == nil {
		return
	}
	e.Str("route", a.Route).Str("service", a.Service).Str("upstream", a.Upstream).Str("zone", a.Zone).
		Str("key", a.Key).Int("attempt", a.Number).Int64("config", a.Config).Float64("load", a.Load).Int("capacity", a.Capacity).Float64("load_age_ms", ms(a.LoadAge)).
		Int("rank", a.Rank).Bool("cold", a.Cold).Str("outcome", a.Outcome).Int("status", a.Status).
		Float64("took_ms", ms(a.Took)).Str("detail", a.Detail).Int("unacked_bytes", a.Unacknowledged).Str("withheld", a.Withheld).Str("passed_over", a.PassedOver).Str("caller", a.Caller).Str("fingerprint", a.Fingerprint).Msg("request: attempt ended")
}

// Direction is the direction of a request between two hosts.
type Direction string

const (
	// SentTo is a request that this host sent through another one.
	SentTo Direction = "sent-to"
	// ReceivedFrom is a request that another host sent through this one.
	ReceivedFrom Direction = "received-from"
)

// Indirect describes a request that a host without a path to upstreams sends through another
// host. Both hosts log it.
type Indirect struct {
	// Request is the id that the client gave the request.
	Request   string
	Direction Direction
	// Peer is the name of the other host.
	Peer string
	// Outcome is OutcomeAnswered or the reason of the failure, and Verdict is that of a
	// failure.
	Outcome, Verdict string
	// Status is the HTTP status of the response; 0 without a response.
	Status int
	// Failed is set unless there was a complete response.
	Failed bool
	Took   time.Duration
	// Detail is one sentence about the failure.
	Detail string
}

// Indirect logs a request between two hosts.
func (l *Log) Indirect(i Indirect) {
	e := l.requestEvent(EventIndirect, i.Request, i.Failed)
	if e == nil {
		return
	}
	e.Str("direction", string(i.Direction)).Str("name", i.Peer).Str("outcome", i.Outcome).Str("verdict", i.Verdict).
		Int("status", i.Status).Float64("took_ms", ms(i.Took)).Str("detail", i.Detail).Msg("request: exchanged with another host")
}

// WarmUp describes a request that was sent to a cold upstream.
type WarmUp struct {
	// Request is the id that the client gave the request.
	Request  string
	Upstream string
	Zone     string
	// Waited is the time from the choice of the upstream until the request was
	// written. A new connection or a lack of CPU time on the host delays the write.
	Waited time.Duration
	// Sent is the number of requests that count against the quota and for which this
	// host chose the upstream while it considered the upstream cold, including this
	// request. SentWarm is the number for which it chose the upstream while it
	// considered it warm. Both are as of the choice.
	Sent     int
	SentWarm int
	// Quota is this host's share of the upstream's rate, in requests per second.
	// Hosts is the number of known hosts among which the rate is divided.
	Quota int
	Hosts int
}

// WarmUp logs a request that was sent to a cold upstream, and counts it. These requests
// are not sampled, because only the sum over all hosts shows whether the upstream got
// more than its rate, and from which hosts.
func (l *Log) WarmUp(w WarmUp) {
	l.metrics.Count("cairndock_cold_requests_total")
	l.event(EventWarmUp, l.warmUps).Str("request", w.Request).Str("upstream", w.Upstream).Str("zone", w.Zone).
		Float64("waited_ms", ms(w.Waited)).Int("sent", w.Sent).Int("sent_warm", w.SentWarm).Int("quota", w.Quota).Int("hosts", w.Hosts).
		Float64("uptime_ms", ms(time.Since(l.started))).Msg("upstream: request sent to a cold upstream")
}

// ClientState says whether a client can still get the response to its request.
type ClientState string

const (
	// ClientConnected is a client whose connection is open.
	ClientConnected ClientState = "connected"
	// ClientLeft is a client that closed its connection.
	ClientLeft ClientState = "left"
	// ClientCut is a client whose connection the host closed.
	ClientCut ClientState = "cut"
)

// Final describes the response that the client got.
type Final struct {
	// Request is the id that the client gave the request.
	Request string
	// Route and Service are empty if no route matched.
	Route   string
	Service string
	// Account is the name of the client account, or empty.
	Account string
	// Priority is the priority of the account or of the route. Objective is the
	// route's target latency; zero if it has none.
	Priority  int
	Objective time.Duration
	// Attempts is the number of upstreams to which the request was sent.
	Attempts int
	// Config is the version of the operator configuration in effect; 0 if the host
	// had none.
	Config int64
	// ConfigAge and UpstreamsAge are the ages of the two watched tables: the time
	// since a source last confirmed them.
	ConfigAge    time.Duration
	UpstreamsAge time.Duration
	// Status is the HTTP status of the response. The client got the response if
	// Client is ClientConnected.
	Status int
	// Client says whether the client could still get the response.
	Client ClientState
	// Verdict says whether the request may have run (verdict.Verdict).
	Verdict string
	// Reason is the reason of a response that the gateway generated
	// (verdict.Reason); empty if an upstream's response was forwarded.
	Reason string
	// Failed is set if the gateway generated the response.
	Failed bool
	// Took is the time since the request's arrival.
	Took time.Duration
	// Detail is one sentence about the failure.
	Detail string
	// RetryDenied says how much of the retry budget was used, if the gateway generated the
	// response and the budget denied another attempt. It is empty otherwise.
	RetryDenied string
}

// Final logs the response that the client got.
func (l *Log) Final(f Final) {
	e := l.requestEvent(EventFinal, f.Request, f.Failed)
	if e == nil {
		return
	}
	e.Str("host_zone", l.zone).Str("route", f.Route).Str("service", f.Service).Str("account", f.Account).Int("priority", f.Priority).Float64("objective_ms", ms(f.Objective)).Int("attempts", f.Attempts).Int64("config", f.Config).
		Float64("config_age_ms", ms(f.ConfigAge)).Float64("upstreams_age_ms", ms(f.UpstreamsAge)).
		Int("status", f.Status).Str("client", string(f.Client)).Str("verdict", f.Verdict).Str("reason", f.Reason).
		Float64("took_ms", ms(f.Took)).Str("detail", f.Detail).Str("retry_denied", f.RetryDenied).Msg("request: final response")
}

// Cut logs that the host closed a client's connection after it had read a request
// from the connection, and counts the request.
func (l *Log) Cut() {
	l.metrics.Count("cairndock_requests_cut_total")
	l.event("cut", l.failures).Msg("client: connection closed by the host after a request was read")
}

// HeaderRefused logs that a request of a client was refused before its header was complete. The
// reason names the bound.
func (l *Log) HeaderRefused(client, reason string) {
	l.event("header-refused", l.failures).Str("client_address", client).Str("reason", reason).Msg("client: header refused before it was complete")
}

// ConnectionEvicted logs that a client's connection was closed because other connections need
// its memory or descriptor.
func (l *Log) ConnectionEvicted(client string) {
	l.event("connection-evicted", l.failures).Str("client_address", client).Msg("client: connection closed for others, its client kept the host waiting")
}

// Config logs that a version of the operator configuration was applied.
func (l *Log) Config(version int64, routes int) {
	l.stateEvent("config").Int64("version", version).Int("routes", routes).Msg("config: applied")
}

// BadRow logs a row that could not be decoded and was not applied. The table is
// "intent" (the operator's table), "upstream" or "hosts".
func (l *Log) BadRow(table, key string, version int64, err error) {
	l.stateEvent("bad-row").Str("table", table).Str("key", key).Int64("version", version).Err(err).Msg("row: cannot be decoded, not applied")
}

// BadInput logs that another host sent an invalid frame or exceeded a limit. The error names the
// limit. The source is the name of the host, if it is known, and its address.
func (l *Log) BadInput(source string, err error) {
	l.stateEvent("bad-input").Str("name", source).Err(err).Msg("peer: input is not used")
}

// Ejected logs that an upstream is ejected for a time, with the observations that
// caused the ejection, and counts it.
func (l *Log) Ejected(o outlier.Ejection) {
	l.metrics.Count("cairndock_ejections_total")
	l.stateEvent(EventEjected).Str("upstream", string(o.Upstream)).Int("bad", o.Failures).Int("good", o.Successes).Int("hosts", o.Hosts).
		Float64("for_ms", ms(o.Period)).Msg("upstream: ejected, avoided for a time")
}

// UpstreamTerminated logs that an upstream terminated while it ran a request, and counts the
// termination. The route, the target and the client's address help operators to identify
// the request.
func (l *Log) UpstreamTerminated(id, fingerprint, route, target, client string) {
	l.metrics.Count("cairndock_upstream_ends_total")
	l.event("upstream-ended", l.failures).Str("upstream", id).Str("fingerprint", fingerprint).Str("route", route).Str("target", target).
		Str("caller", client).Msg("upstream: terminated while it ran a request")
}

// Quarantined logs that a request is refused from now on, with the upstreams that
// terminated while they ran the request, and counts it.
func (l *Log) Quarantined(q poison.Quarantine) {
	l.metrics.Count("cairndock_quarantines_total")
	l.stateEvent("quarantined").Str("fingerprint", q.Fingerprint.String()).Strs("upstreams", q.Runs).Msg("request: quarantined, refused from now on")
}

// Released logs that a request is no longer refused.
func (l *Log) Released(f poison.Fingerprint) {
	l.stateEvent("released").Str("fingerprint", f.String()).Msg("request: released from quarantine")
}

// QuarantineStored logs that this host stored a quarantine under a region, and how many
// writes that took.
func (l *Log) QuarantineStored(f poison.Fingerprint, region string, attempts int) {
	l.stateEvent("quarantine-stored").Str("fingerprint", f.String()).Str("name", region).Int("attempts", attempts).Msg("request: quarantine stored under a region")
}

// QuarantinesLearned logs from which region's list or from which host this host learned
// which requests are quarantined.
func (l *Log) QuarantinesLearned(source string) {
	l.stateEvent("quarantines-learned").Str("name", source).Msg("requests: quarantines learned")
}

// QuarantinesUnread logs that this host serves without knowing which requests are
// quarantined, because it could not read a list in time.
func (l *Log) QuarantinesUnread(waited time.Duration) {
	l.stateEvent("quarantines-unread").Float64("after_ms", ms(waited)).Msg("requests: serving without the quarantines, no list could be read")
}

// Upstream logs an upstream's new state with the version of the table, which is 0 if
// the state changed without a change of a row. Package routing defines the states. An
// upstream whose row was deleted has neither service nor zone in the log.
func (l *Log) Upstream(id string, r upstream.Registration, state string, version int64) {
	l.stateEvent(EventUpstream).Str("upstream", id).Str("service", r.Service).Str("zone", r.Zone).Str("state", state).
		Int64("born", r.StartedAt).Int64("version", version).Float64("cold_ms", ms(r.ColdLeft)).Msg("upstream: state changed")
}

// LimitChanged logs that an upstream reported a new or changed limit, in requests per second over
// all hosts, and counts the notice.
func (l *Log) LimitChanged(run upstream.Run, perSecond float64) {
	l.metrics.Count(`cairndock_notices_total{kind="limit"}`)
	l.stateEvent(EventNotice).Str("upstream", string(run)).Str("kind", "limit").Float64("per_second", perSecond).Msg("upstream: reported a limit over all hosts")
}

// LeavingAnnounced logs that an upstream announced that it is leaving, and counts the notice.
func (l *Log) LeavingAnnounced(run upstream.Run) {
	l.metrics.Count(`cairndock_notices_total{kind="leaving"}`)
	l.stateEvent(EventNotice).Str("upstream", string(run)).Str("kind", "leaving").Msg("upstream: leaving, gets no new requests")
}

// BackoffRequested logs that an upstream requested a backoff from this host, and counts the notice.
func (l *Log) BackoffRequested(run upstream.Run, d time.Duration) {
	l.metrics.Count(`cairndock_notices_total{kind="rest"}`)
	l.stateEvent(EventNotice).Str("upstream", string(run)).Str("kind", "rest").Float64("for_ms", ms(d)).Msg("upstream: requested a backoff from this host")
}

// LimitEnded logs that an upstream no longer reports a limit.
func (l *Log) LimitEnded(run upstream.Run) {
	l.stateEvent(EventNotice).Str("upstream", string(run)).Str("kind", "limit-ended").Msg("upstream: no longer reports a limit")
}

// Evacuated logs the zones that get no requests.
func (l *Log) Evacuated(zones []string, version int64) {
	l.stateEvent("evacuated").Strs("zones", zones).Int64("version", version).Msg("evacuation: zones changed")
}

// Lost logs that a dependency no longer responds. Its kind is one of these:
//
//   - "peer": another host, by its name.
//   - "intent source" or "upstream source": the source, "store" or a host, from
//     which the table of the operator or of the upstreams is watched.
//   - "listener": the listener, which cannot accept clients' connections.
func (l *Log) Lost(kind, name string, err error) {
	l.stateEvent(EventLost).Str("dependency", kind).Str("name", name).Err(err).Msg("dependency: lost")
}

// Regained logs that a dependency of Lost responds again after an outage of the given
// length. The length is 0 for a peer, for which it is unknown.
func (l *Log) Regained(kind, name string, after time.Duration) {
	l.stateEvent("regained").Str("dependency", kind).Str("name", name).Float64("after_ms", ms(after)).Msg("dependency: regained")
}

// ListingRefused logs that a source's listing of a table was older than the known version
// and was not applied.
func (l *Log) ListingRefused(table, source string, listed, known watch.Version) {
	l.versions("listing-refused", table, source, listed, known).Msg("table: listing is older than the known version, not applied")
}

// LateUpdate logs changes of a table that the host may have learned of late. age is the time since
// the store had last confirmed the host's copy.
func (l *Log) LateUpdate(table, source string, age time.Duration, changes int) {
	l.stateEvent("late-update").Str("table", table).Str("name", source).Float64("age_ms", ms(age)).Int("changed", changes).Msg("table: changes applied late")
}

// EraBegan logs that the store has a new era because it was restored from an older copy.
// changed is the number of new rows in the listed table, and reverted the number of rows that
// are missing or older than known.
func (l *Log) EraBegan(table, source string, listed, known watch.Version, changed, reverted int) {
	l.versions("store-era", table, source, listed, known).Int("changed", changed).Int("reverted", reverted).Msg("store: restored from an older backup")
}

// versions begins a line with a source's version of a table and the known version.
func (l *Log) versions(event, table, source string, listed, known watch.Version) *zerolog.Event {
	return l.stateEvent(event).Str("table", table).Str("name", source).Int64("era", listed.Era).Int64("version", listed.Number).
		Int64("known_era", known.Era).Int64("known_version", known.Number)
}

// Suspended logs that the machine was suspended for a time, and counts the suspension.
func (l *Log) Suspended(gap time.Duration) {
	l.metrics.Count("cairndock_suspensions_total")
	l.stateEvent("suspended").Float64("for_ms", ms(gap)).Msg("process: the machine was suspended")
}

// Stalled logs that the process got no CPU time for a time, and records the length.
func (l *Log) Stalled(d time.Duration) {
	l.metrics.Observe("cairndock_stall_seconds", d.Seconds())
	l.stateEvent(EventStalled).Float64("for_ms", ms(d)).Msg("process: got no CPU time")
}

// LoadReportsDropped logs load reports that were not sent to another host or not used,
// because they exceeded a bound. detail names the bound.
func (l *Log) LoadReportsDropped(peer, detail string, reports int) {
	l.stateEvent("load-reports-dropped").Str("name", peer).Str("detail", detail).Int("reports", reports).Msg("load reports: dropped because of a bound")
}

// Process logs a step of the process's life cycle: start, reload, stop or stopped.
func (l *Log) Process(step, detail string) {
	l.stateEvent(step).Str("detail", detail).Msg("process: " + step)
}

// ms converts a duration to milliseconds, the unit of all logged durations.
func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
