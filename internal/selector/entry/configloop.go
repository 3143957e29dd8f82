package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/pause"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/platformcalls"
)

const (
	// pollInterval is the time between two looks at the head of the log.
	pollInterval = time.Second
	// selfPollAge is the age of the last proof of freshness at which a host
	// that is no poller looks for itself.
	selfPollAge = 2500 * time.Millisecond
	// snapshotEvery is how many changes lie between two snapshots.
	snapshotEvery = 200
)

// platformLoop looks for new changes and proves that there are none.
func (h *Host) platformLoop(ctx context.Context) {
	retry := platformcalls.NewBackoff()
	failing := false
	for {
		wait := h.pollWait()
		err := h.platformTurn(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			h.log.Warn().Err(err).Bool("failing", failing).Msg("config: asking the platform")
		}
		if err != nil {
			wait = retry.NextBackOff()
		} else {
			retry.Reset()
		}
		if !pause.For(ctx, wait) {
			return
		}
	}
}

// pollWait spreads the polls of many hosts.
func (h *Host) pollWait() time.Duration {
	return time.Duration(float64(pollInterval) * (0.9 + 0.2*h.random.Float64()))
}

func (h *Host) platformTurn(ctx context.Context) error {
	stale := h.now()-h.freshAt.Load() > int64(selfPollAge)
	if !h.isPoller() && !stale {
		return nil
	}
	return h.poll(ctx)
}

// poll reads the head of the log and what came after this host's revision.
func (h *Host) poll(ctx context.Context) error {
	began := h.now()
	if h.View().Revision() == 0 {
		return h.loadAll(ctx, began)
	}
	var headRev uint64
	err := h.platform.Do(ctx, func(ctx context.Context) (err error) {
		headRev, err = h.configLog.Head(ctx)
		return err
	})
	if err != nil {
		return err
	}
	for h.View().Revision() < headRev {
		if err := h.readLog(ctx); err != nil {
			return err
		}
	}
	h.setFresh(began)
	return h.maybeSnapshot(ctx)
}

func (h *Host) readLog(ctx context.Context) error {
	var changes []config.Change
	err := h.platform.Do(ctx, func(ctx context.Context) (err error) {
		changes, err = h.configLog.Since(ctx, h.View().Revision())
		return err
	})
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return eris.New("log ends before its head")
	}
	return h.putInForce(ctx, changes)
}

// loadAll reads the newest snapshot and what came after it.
func (h *Host) loadAll(ctx context.Context, began int64) error {
	if err := h.platform.Wait(ctx); err != nil {
		return err
	}
	s, err := h.configLog.Load(ctx)
	if err != nil {
		return err
	}
	h.adoptState(s)
	h.setFresh(began)
	return nil
}

// adoptState puts a whole state in force, if it is newer.
func (h *Host) adoptState(s *config.State) {
	h.forced.Lock()
	if s.Revision() > h.View().Revision() {
		h.view.Store(config.NewView(s, h.self.Zone))
		h.recent = nil
	}
	h.forced.Unlock()
	h.reconfigure()
}

// putInForce applies changes in order. Those at or below the revision in
// force are passed over: a host only ever moves to a higher revision.
func (h *Host) putInForce(ctx context.Context, changes []config.Change) error {
	h.forced.Lock()
	state := h.View().State()
	var news []config.Change
	for _, c := range changes {
		if c.Revision <= state.Revision() {
			continue
		}
		next, err := state.With(c)
		if err != nil {
			h.forced.Unlock()
			return err
		}
		state = next
		news = append(news, c)
	}
	if len(news) > 0 {
		h.view.Store(h.View().With(state, news))
		h.recent = append(h.recent, news...)
		h.recent = h.recent[max(0, len(h.recent)-maxRecent):]
	}
	h.forced.Unlock()
	if len(news) == 0 {
		return nil
	}
	h.reconfigure()
	h.metrics.Add("cairndock_config_changes_total", len(news))
	h.pushOn(ctx, news)
	return nil
}

// maybeSnapshot stores a snapshot every so many changes.
func (h *Host) maybeSnapshot(ctx context.Context) error {
	rev := h.View().Revision()
	if rev == 0 || rev%snapshotEvery != 0 {
		return nil
	}
	return h.platform.Do(ctx, func(ctx context.Context) error {
		return h.configLog.SaveSnapshot(ctx, h.View().State())
	})
}
