package eventlog

import (
	"bytes"
	"io"
	"time"
)

const (
	// queueLength is the maximum number of queued lines: about three seconds of lines
	// at all rates together.
	queueLength = 512
	// reportInterval is the interval of reports on dropped lines.
	reportInterval = 5 * time.Second
	// closeTimeout is how long Close waits for a blocked writer. It is short
	// compared to the grace period of a planned stop.
	closeTimeout = 200 * time.Millisecond
)

// enqueuer is the io.Writer of the logger. It queues lines for the writing goroutine,
// or drops them if the queue is full.
type enqueuer struct{ log *Log }

// Write implements io.Writer for one line. It copies the line because zerolog reuses
// the buffer.
func (e enqueuer) Write(line []byte) (int, error) {
	select {
	case e.log.queue <- bytes.Clone(line):
	default:
		e.log.countDropped()
	}
	return len(line), nil
}

// write writes queued lines to w until Close, and then the remaining lines.
func (l *Log) write(w io.Writer) {
	defer close(l.closed)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-l.queue:
			writeLine(w, line)
		case <-report.C:
			l.reportDropped()
		case <-l.closing:
			for len(l.queue) > 0 {
				writeLine(w, <-l.queue)
			}
			return
		}
	}
}

// writeLine ignores errors of w, because they could only be reported to the log itself.
func writeLine(w io.Writer, line []byte) { _, _ = w.Write(line) }

func (l *Log) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.out.Warn().Str("event", "log-lines-left-out").Int64("lines", n).Msg("log: lines were dropped")
	}
}

// Close writes the queued lines and stops the log. It returns after closeTimeout at the
// latest.
func (l *Log) Close() {
	l.closeOnce.Do(func() { close(l.closing) })
	select {
	case <-l.closed:
	case <-time.After(closeTimeout):
	}
}
