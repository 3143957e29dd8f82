package proxy

import (
	"context"
	"sync"
	"time"

	"cairndock/internal/gateway/balance"
)

// overdueState is what became of an attempt's wait for its response.
type overdueState uint8

const (
	// waiting: neither the response nor the timer has come.
	waiting overdueState = iota
	// inTime: the attempt ended before the timer.
	inTime
	// overdue: the timer came first, and the attempt goes on.
	overdue
	// replaced: the timer came first, and the attempt was canceled for another.
	replaced
)

// overdueTimer watches one attempt for a response that takes too long, which
// counts as a failure of the upstream.
type overdueTimer struct {
	inflight *inflight
	upstream string
	// after is the longest time that a response normally takes; zero when it is
	// not known yet, and the timer never fires.
	after  time.Duration
	cancel context.CancelFunc
	timer  *time.Timer

	mu    sync.Mutex
	state overdueState
}

// startOverdueTimer watches an attempt that begins. cancel ends the attempt.
func (f *inflight) startOverdueTimer(c balance.Choice, cancel context.CancelFunc) *overdueTimer {
	t := &overdueTimer{inflight: f, upstream: c.Upstream.ID, cancel: cancel}
	t.after = f.proxy.Detector.OverdueAfter(f.service, c.Load)
	if t.after > 0 {
		t.timer = time.AfterFunc(t.after, t.fire)
	}
	return t
}

// fire records that the response is overdue, and cancels the attempt when the
// request is to be sent to another upstream. The request's own state does not
// change while its attempt is waiting.
func (t *overdueTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != waiting {
		return
	}
	t.state = overdue
	now := time.Now()
	t.inflight.proxy.Detector.RecordFailure(t.upstream, now)
	if t.inflight.shouldResend(t.after, now) {
		t.state = replaced
		t.cancel()
	}
}

// settle ends the watch when the attempt ended, and gives what became of it.
func (t *overdueTimer) settle() overdueState {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.state != waiting {
		return t.state
	}
	t.state = inTime
	if t.timer != nil {
		t.timer.Stop()
	}
	return inTime
}
