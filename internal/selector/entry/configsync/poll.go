package configsync

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/pause"
	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/platformcalls"
)

const (
	// pollInterval is the time between two looks at the head of the log, give
	// or take pollJitter: two hosts of each zone look each second
	// (docs/design/configuration.md).
	pollInterval = time.Second
	// pollJitter is the part of pollInterval by which a poll may come early
	// or late, so that hosts that started together spread.
	pollJitter = 0.1
	// selfPollAge is the age of the last proof of freshness at which a host
	// that is no poller looks for itself, below FreezeAfter
	// (docs/design/configuration.md).
	selfPollAge = 2500 * time.Millisecond
	// snapshotEvery is how many changes lie between two snapshots.
	snapshotEvery = 200
)

// PollLoop looks for new changes at the platform, and proves that there are
// none, until ctx ends.
func (r *Replica) PollLoop(ctx context.Context) {
	retry := platformcalls.NewBackoff()
	failing := false
	for {
		wait := r.pollWait()
		err := r.pollIfDue(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			r.Log.Warn().Err(err).Bool("failing", failing).Msg("config: asking the platform")
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
func (r *Replica) pollWait() time.Duration {
	return time.Duration(float64(pollInterval) * (1 - pollJitter + 2*pollJitter*r.Random()))
}

// pollIfDue polls when this host does so for its zone, or when its last proof is
// too old to wait for one from a peer.
func (r *Replica) pollIfDue(ctx context.Context) error {
	if !r.IsPoller() && r.Age() <= selfPollAge {
		return nil
	}
	return r.poll(ctx)
}

// poll reads the head of the log and what came after this host's revision.
func (r *Replica) poll(ctx context.Context) error {
	began := r.Now()
	if r.View().Revision() == 0 {
		return r.loadAll(ctx, began)
	}
	headRev, err := platformcalls.Get(ctx, r.Platform, r.ChangeLog.Head)
	if err != nil {
		return err
	}
	for r.View().Revision() < headRev {
		if err := r.readLog(ctx); err != nil {
			return err
		}
	}
	r.confirm(began)
	return r.snapshotIfDue(ctx)
}

// readLog puts the next changes of the log in force.
func (r *Replica) readLog(ctx context.Context) error {
	changes, err := platformcalls.Get(ctx, r.Platform, func(ctx context.Context) ([]config.Change, error) {
		return r.ChangeLog.Since(ctx, r.View().Revision())
	})
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return eris.New("log ends before its head")
	}
	return r.putInForce(ctx, changes)
}

// loadAll reads the newest snapshot and what came after it.
func (r *Replica) loadAll(ctx context.Context, began int64) error {
	if err := r.Platform.Wait(ctx); err != nil {
		return err
	}
	s, err := r.ChangeLog.Load(ctx)
	if err != nil {
		return err
	}
	r.Adopt(s)
	r.confirm(began)
	return nil
}

// snapshotIfDue stores a snapshot at every snapshotEvery-th revision.
func (r *Replica) snapshotIfDue(ctx context.Context) error {
	rev := r.View().Revision()
	if rev == 0 || rev%snapshotEvery != 0 {
		return nil
	}
	return r.Platform.Do(ctx, func(ctx context.Context) error {
		return r.ChangeLog.SaveSnapshot(ctx, r.View().State())
	})
}
