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
	// pollInterval is the mean time between two reads of the log's head by a
	// host; pollJitterFraction varies it. Two hosts of each zone poll every second
	// (docs/design/configuration.md).
	pollInterval = time.Second
	// pollJitterFraction is the fraction of pollInterval by which a poll may be
	// early or late. It spreads the polls of hosts that started together.
	pollJitterFraction = 0.1
	// selfPollAge is the age of the latest proof of freshness above which a host
	// polls even if it is not a poller of its zone. It is below FreezeAfter so
	// that the host polls before it freezes (docs/design/configuration.md).
	selfPollAge = 2500 * time.Millisecond
	// snapshotInterval is the number of revisions between two snapshots.
	snapshotInterval = 200
)

// PollLoop polls the platform for new changes and confirms that the revision in
// force is the newest, until ctx ends. Failed polls are retried with exponential
// backoff.
func (r *Replica) PollLoop(ctx context.Context) {
	retry := platformcalls.NewBackoff()
	failing := false
	for {
		wait := r.pollWait()
		err := r.pollIfDue(ctx)
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			r.Log.Warn().Err(err).Bool("failing", failing).Msg("config: polling the platform failed or recovered")
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

// pollWait returns pollInterval with random jitter, which spreads the polls of
// many hosts.
func (r *Replica) pollWait() time.Duration {
	return time.Duration(float64(pollInterval) * (1 - pollJitterFraction + 2*pollJitterFraction*r.Random()))
}

// pollIfDue polls if this host polls for its zone, or if its latest proof of
// freshness is too old to wait for a proof from a peer.
func (r *Replica) pollIfDue(ctx context.Context) error {
	if !r.IsPoller() && r.Age() <= selfPollAge {
		return nil
	}
	return r.poll(ctx)
}

// poll reads the head of the log and all changes after this host's revision.
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

// readLog reads the next changes from the log and puts them in force.
func (r *Replica) readLog(ctx context.Context) error {
	changes, err := platformcalls.Get(ctx, r.Platform, func(ctx context.Context) ([]config.Change, error) {
		return r.ChangeLog.Since(ctx, r.View().Revision())
	})
	if err != nil {
		return err
	}
	if len(changes) == 0 {
		return eris.New("log has no changes up to its head")
	}
	return r.putInForce(ctx, changes)
}

// loadAll reads the newest snapshot and the changes after it.
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

// snapshotIfDue stores a snapshot if the revision is a multiple of
// snapshotInterval.
func (r *Replica) snapshotIfDue(ctx context.Context) error {
	rev := r.View().Revision()
	if rev == 0 || rev%snapshotInterval != 0 {
		return nil
	}
	return r.Platform.Do(ctx, func(ctx context.Context) error {
		return r.ChangeLog.SaveSnapshot(ctx, r.View().State())
	})
}
