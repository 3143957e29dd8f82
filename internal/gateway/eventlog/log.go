// Package eventlog is a gateway host's structured log. It writes a JSON line for
// each attempt and final response of a request, and for each change of the state
// that routing decisions depend on (configuration, upstreams, dependencies).
// docs/operations/metrics.md lists the events; internal/gateway/reqtrace reads
// the lines.
//
// The log is bounded and never blocks its callers. Lines above a rate, and lines
// for which the writer's queue is full, are dropped and counted
// (cairndock_log_lines_left_out_total). The package also decides which successful
// requests are sampled.
package eventlog

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"cairndock/internal/telemetry"
)

// With all of these rates the log used 1.7% of CPU time on a day of high load
// (docs/OPERATIONS.md).
const (
	// defaultOneIn is the default of Sampling.OneIn.
	defaultOneIn = 100
	// defaultFailedPerSecond is the default rate of lines for failed requests.
	defaultFailedPerSecond = 50
	// defaultServedPerSecond is the default rate of lines for sampled successful
	// requests.
	defaultServedPerSecond = 10
	// stateChangesPerSecond is the rate of lines for state changes.
	stateChangesPerSecond = 100
	// warmUpsPerSecond is the rate of lines for requests to cold upstreams. Each cold
	// upstream accepts about 15 to 30 requests per second from all hosts together.
	warmUpsPerSecond = 100
	// burstSeconds is the burst of each rate, as the number of seconds at that rate.
	burstSeconds = 2
)

// Sampling limits the lines for requests. cairndock losses needs a log with every
// request: OneIn must be 1, and the rates must be above the host's request rates.
type Sampling struct {
	// OneIn is the number of successful requests for each logged one.
	OneIn int
	// ServedPerSecond is the rate of lines for sampled successful requests, and
	// FailedPerSecond the rate of lines for failed requests.
	ServedPerSecond int
	FailedPerSecond int
}

// DefaultSampling returns the sampling of a host without settings for it.
func DefaultSampling() Sampling {
	return Sampling{OneIn: defaultOneIn, ServedPerSecond: defaultServedPerSecond, FailedPerSecond: defaultFailedPerSecond}
}

// Sampled reports whether a successful request is logged. The result depends only on
// the id, so that all hosts with the same settings log the same requests.
func (s Sampling) Sampled(requestID string) bool {
	return xxhash.Sum64String(requestID)%uint64(max(1, s.OneIn)) == 0
}

// Options configures a Log.
type Options struct {
	// Host and Zone are the host's name and availability zone.
	Host string
	Zone string
	// Level is the minimum level that is written. Lines below it are not counted as
	// dropped. Lines for requests and state changes have level info, and the report
	// of dropped lines has level warn.
	Level    zerolog.Level
	Sampling Sampling
	Metrics  *telemetry.Metrics
}

// Log is the structured log of one process. Its methods may be called
// concurrently.
type Log struct {
	out      zerolog.Logger
	metrics  *telemetry.Metrics
	zone     string
	sampling Sampling

	// Each kind of line has a limiter of its own, so that many failed requests do
	// not cause lines for state changes to be dropped.
	stateChanges *rate.Limiter
	failures     *rate.Limiter
	sampled      *rate.Limiter
	warmUps      *rate.Limiter

	// started is when the log was created, which is at the start of the process.
	started time.Time

	queue chan []byte
	// dropped counts the lines dropped since the last report.
	dropped   atomic.Int64
	closing   chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// New returns a log that writes JSON lines to w until Close.
func New(w io.Writer, o Options) *Log {
	l := &Log{
		metrics:      o.Metrics,
		zone:         o.Zone,
		sampling:     o.Sampling,
		stateChanges: newLimiter(stateChangesPerSecond),
		failures:     newLimiter(o.Sampling.FailedPerSecond),
		sampled:      newLimiter(o.Sampling.ServedPerSecond),
		warmUps:      newLimiter(warmUpsPerSecond),
		started:      time.Now(),
		queue:        make(chan []byte, queueLength),
		closing:      make(chan struct{}),
		closed:       make(chan struct{}),
	}
	l.out = zerolog.New(enqueuer{l}).Level(o.Level).With().Str("host", o.Host).Logger().Hook(zerolog.HookFunc(addTime))
	go l.write(w)
	return l
}

func newLimiter(perSecond int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), burstSeconds*perSecond)
}

// timeFormat has milliseconds, so that lines of several hosts can be ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// addTime adds the time to a line. The format of zerolog's own timestamp is a global
// variable that all loggers of the process share.
func addTime(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format(timeFormat))
}

// stateEvent begins a line for a state change. It returns nil, which writes nothing,
// if the line is dropped.
func (l *Log) stateEvent(name string) *zerolog.Event { return l.event(name, l.stateChanges) }

// requestEvent begins a line for a request. It returns nil if the request is not sampled
// or the line is dropped.
func (l *Log) requestEvent(name, requestID string, failed bool) *zerolog.Event {
	limiter := l.failures
	if !failed {
		if !l.sampling.Sampled(requestID) {
			return nil
		}
		limiter = l.sampled
	}
	return l.event(name, limiter).Str("request", requestID)
}

// event begins a line if the limiter allows it, and returns nil otherwise. It checks the
// level first, so that lines below the minimum level are not counted as dropped.
func (l *Log) event(name string, limiter *rate.Limiter) *zerolog.Event {
	if l.out.GetLevel() > zerolog.InfoLevel {
		return nil
	}
	if !limiter.Allow() {
		l.countDropped()
		return nil
	}
	return l.out.Info().Str("event", name)
}

func (l *Log) countDropped() {
	l.dropped.Add(1)
	l.metrics.Count("cairndock_log_lines_left_out_total")
}
