package eventlog

import (
	"bytes"
	"io"
	"time"
)

const (
	// queueLength is how many lines wait for the writer at most: about three
	// seconds of lines at all rates together.
	queueLength = 512
	// reportEvery is how often the log says how many lines were left out.
	reportEvery = 5 * time.Second
	// closeTimeout is how long Close waits for a writer that is stuck:
	// short beside the grace of a planned stop.
	closeTimeout = 200 * time.Millisecond
)

// enqueuer is the io.Writer behind the logger. It passes lines on to the
// writing goroutine, or leaves them out if the queue is full.
type enqueuer struct{ log *Log }

// Write implements io.Writer for one line; it copies it, as zerolog reuses the
// buffer.
func (e enqueuer) Write(line []byte) (int, error) {
	select {
	case e.log.queue <- bytes.Clone(line):
	default:
		e.log.countLeftOut()
	}
	return len(line), nil
}

// write passes queued lines to w until Close, and then those still queued.
func (l *Log) write(w io.Writer) {
	defer close(l.closed)
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	for {
		select {
		case line := <-l.queue:
			writeLine(w, line)
		case <-report.C:
			l.reportLeftOut()
		case <-l.closing:
			for len(l.queue) > 0 {
				writeLine(w, <-l.queue)
			}
			return
		}
	}
}

// writeLine ignores an error of w: the log is the only place to report it.
func writeLine(w io.Writer, line []byte) { _, _ = w.Write(line) }

func (l *Log) reportLeftOut() {
	if n := l.leftOut.Swap(0); n > 0 {
		l.out.Warn().Str("event", "log-lines-left-out").Int64("lines", n).Msg("log: lines were left out")
	}
}

// Close writes what is queued and ends the log, within closeTimeout.
func (l *Log) Close() {
	l.closeOnce.Do(func() { close(l.closing) })
	select {
	case <-l.closed:
	case <-time.After(closeTimeout):
	}
}
