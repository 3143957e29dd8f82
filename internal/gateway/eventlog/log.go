// Package eventlog is a gateway host's structured log: a JSON line for each
// attempt and final response of a request, and for each change of the state
// that decisions are based on (configuration, upstreams, dependencies).
// docs/operations/metrics.md lists the events; internal/gateway/reqtrace reads
// them back.
//
// The log is bounded and never blocks its users: lines beyond a rate, and
// lines that the writer can't take in time, are left out and counted
// (cairndock_log_lines_left_out_total). It owns the sampling of requests that
// went well.
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

// With all of the rates below the
// log cost 1.7% of processor time on a day of high load (docs/OPERATIONS.md).
const (
	// defaultOneIn is how many successful requests there are to each one that
	// is logged, where the settings do not say it.
	defaultOneIn = 100
	// defaultFailedPerSecond is the rate of lines on requests that failed.
	defaultFailedPerSecond = 50
	// defaultServedPerSecond is the rate of lines on sampled requests that
	// succeeded.
	defaultServedPerSecond = 10
	// stateChangesPerSecond is the rate of lines on state changes.
	stateChangesPerSecond = 100
	// warmUpsPerSecond is the rate of lines on requests to cold upstreams. Each of
	// these bears few, some 15 to 30 a second from all hosts together.
	warmUpsPerSecond = 100
	// burstSeconds is for how many seconds' rate lines may come at once.
	burstSeconds = 2
)

// Sampling bounds the lines on requests. cairndock losses reads a log in which
// every request is written: OneIn is 1, and the rates are above those of the
// host's requests.
type Sampling struct {
	// OneIn is how many successful requests there are to each one that is
	// logged.
	OneIn int
	// ServedPerSecond is the rate of lines on sampled requests that succeeded,
	// and FailedPerSecond on requests that failed.
	ServedPerSecond int
	FailedPerSecond int
}

// DefaultSampling is what a host logs of its requests unless it is set.
func DefaultSampling() Sampling {
	return Sampling{OneIn: defaultOneIn, ServedPerSecond: defaultServedPerSecond, FailedPerSecond: defaultFailedPerSecond}
}

// Sampled reports whether a successful request is logged. It depends on the id
// alone, so that all hosts with the same setting log the same requests.
func (s Sampling) Sampled(requestID string) bool {
	return xxhash.Sum64String(requestID)%uint64(max(1, s.OneIn)) == 0
}

// Options are what a Log is made of.
type Options struct {
	// Host and Zone are the host's name and availability zone.
	Host string
	Zone string
	// Level is the least level that is written. Lines below it are not counted
	// as left out: requests and state changes are of level info, the report of
	// lines left out is a warning.
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

	// Each kind of line has a limiter of its own, so that a flood of failed
	// requests hides no state change.
	stateChanges *rate.Limiter
	failures     *rate.Limiter
	sampled      *rate.Limiter
	warmUps      *rate.Limiter

	// began is when the log was made: at the process's start.
	began time.Time

	queue chan []byte
	// leftOut counts the lines left out since the last report.
	leftOut   atomic.Int64
	closing   chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// New makes a log that writes JSON lines to w until Close.
func New(w io.Writer, o Options) *Log {
	l := &Log{
		metrics:      o.Metrics,
		zone:         o.Zone,
		sampling:     o.Sampling,
		stateChanges: newLimiter(stateChangesPerSecond),
		failures:     newLimiter(o.Sampling.FailedPerSecond),
		sampled:      newLimiter(o.Sampling.ServedPerSecond),
		warmUps:      newLimiter(warmUpsPerSecond),
		began:        time.Now(),
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

// timeFormat has milliseconds, to order the lines of several hosts.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// addTime adds the time to a line. zerolog's own timestamp takes its format from
// a global variable, which other loggers of the process share.
func addTime(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format(timeFormat))
}

// stateEvent begins a line on a state change; nil, which writes nothing, if it
// is left out.
func (l *Log) stateEvent(name string) *zerolog.Event { return l.event(name, l.stateChanges) }

// requestEvent begins a line on a request; nil if it is not sampled or left out.
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

// event begins a line within a rate. The level is checked first, so that a line
// below it does not count as left out.
func (l *Log) event(name string, limiter *rate.Limiter) *zerolog.Event {
	if l.out.GetLevel() > zerolog.InfoLevel {
		return nil
	}
	if !limiter.Allow() {
		l.countLeftOut()
		return nil
	}
	return l.out.Info().Str("event", name)
}

func (l *Log) countLeftOut() {
	l.leftOut.Add(1)
	l.metrics.Count("cairndock_log_lines_left_out_total")
}
