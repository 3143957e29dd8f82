// Package event writes the structured log: one line for each decision that
// touches a request or changes what the process believes. Writing is bounded
// and never blocks.
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

const (
	// queued bounds the lines that wait for the writer.
	queued = 512
	// sampleOne of so many requests that went well is written down.
	sampleOne = 100
	// beliefsPerSecond and failuresPerSecond bound the lines of each sort,
	// and sampledPerSecond those of requests that went well.
	stateChangesPerSecond = 100
	failuresPerSecond     = 50
	sampledPerSecond      = 10
	// reportEvery is how often lines that were left out are reported.
	reportEvery = 5 * time.Second
)

// Log is the structured log of one process.
type Log struct {
	out     zerolog.Logger
	queue   chan []byte
	done    chan struct{}
	once    sync.Once
	stopped chan struct{}
	metrics *telemetry.Metrics

	stateChanges *rate.Limiter
	failures     *rate.Limiter
	sampled      *rate.Limiter
	dropped      atomic.Int64
}

// New makes a log that writes JSON lines to w until Close. Lines below the
// least level are not written and not counted as left out: decisions and state
// changes are of level info, the report of lines left out is a warning.
func New(w io.Writer, host string, least zerolog.Level, m *telemetry.Metrics) *Log {
	l := &Log{
		queue: make(chan []byte, queued), done: make(chan struct{}), stopped: make(chan struct{}), metrics: m,
		stateChanges: rate.NewLimiter(stateChangesPerSecond, 2*stateChangesPerSecond),
		failures:     rate.NewLimiter(failuresPerSecond, 2*failuresPerSecond),
		sampled:      rate.NewLimiter(sampledPerSecond, 2*sampledPerSecond),
	}
	l.out = zerolog.New(enqueuer{l}).Level(least).With().Str("host", host).Logger().Hook(stamp{})
	go l.write(w)
	return l
}

// timeFormat is that of a line's time: an order among the lines of several
// hosts needs more than seconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// stamp writes a line's time.
type stamp struct{}

// Run adds the time.
func (stamp) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Str("time", time.Now().UTC().Format(timeFormat))
}

// enqueuer hands lines to the writer, or leaves them out.
type enqueuer struct{ log *Log }

// Write takes one line.
func (e enqueuer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case e.log.queue <- kept:
	default:
		e.log.drop()
	}
	return len(line), nil
}

func (l *Log) drop() {
	l.dropped.Add(1)
	l.metrics.Count("cairndock_log_lines_left_out_total")
}

func (l *Log) write(w io.Writer) {
	defer close(l.stopped)
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case line := <-l.queue:
			_, _ = w.Write(line)
		case <-report.C:
			if n := l.dropped.Swap(0); n > 0 {
				l.out.Warn().Str("event", "log-lines-left-out").Int64("lines", n).Msg("log: lines were left out")
			}
		case <-l.done:
			l.drain(w)
			return
		}
	}
}

func (l *Log) drain(w io.Writer) {
	for {
		select {
		case line := <-l.queue:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// closeTimeout bounds the wait for a reader that stopped reading.
const closeTimeout = 200 * time.Millisecond

// Close writes what waits, for a moment at most.
func (l *Log) Close() {
	l.once.Do(func() { close(l.done) })
	select {
	case <-l.stopped:
	case <-time.After(closeTimeout):
	}
}

// Sampled reports whether a request's lines are all written, on every host.
func Sampled(requestID string) bool { return xxhash.Sum64String(requestID)%sampleOne == 0 }

// writesInfo reports whether lines of level info are written. It is asked
// before the rate limits, so that a line below the level is no line left out.
func (l *Log) writesInfo() bool { return l.out.GetLevel() <= zerolog.InfoLevel }

// belief gives a line on what the process believes; nil when it is left out.
func (l *Log) stateChange(name string) *zerolog.Event {
	if !l.writesInfo() {
		return nil
	}
	if !l.stateChanges.Allow() {
		l.drop()
		return nil
	}
	return l.out.Info().Str("event", name)
}

// request gives a line on a request; nil when it is not written.
func (l *Log) request(name, id string, failed bool) *zerolog.Event {
	if !l.writesInfo() {
		return nil
	}
	limiter := l.sampled
	if failed {
		limiter = l.failures
	} else if !Sampled(id) {
		return nil
	}
	if !limiter.Allow() {
		l.drop()
		return nil
	}
	return l.out.Info().Str("event", name).Str("request", id)
}
