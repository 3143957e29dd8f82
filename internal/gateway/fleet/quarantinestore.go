package fleet

import (
	"context"
	"slices"
	"time"

	"cairndock/internal/pause"
	"cairndock/internal/poison"
)

// Several hosts store each quarantine, because any of them may be killed before its write,
// or be unable to write. These are the hosts that saw one of its terminations, which store
// it under every region, and the writers of each region, which store it under their own
// region. Their number does not grow with the fleet. A second write of a quarantine
// replaces the row by one that means the same.

const (
	// quarantineWriters is how many live hosts of each region store the quarantines that
	// other hosts decided. With two, one of them may be killed together with the hosts
	// that saw the terminations.
	quarantineWriters = 2
	// quarantineCheckInterval is how often a host checks which quarantines it must store,
	// beside the check at each new quarantine: the writers change when hosts end.
	quarantineCheckInterval = time.Second
	// quarantineRetryDelay is the pause after a failed write. A host makes one write at a
	// time, so that a store that is down for long gets at most two calls a second of it.
	quarantineRetryDelay = 500 * time.Millisecond
	// quarantineRefresh is by how much the last termination must be later than that of
	// the stored row for the row to be written again. A request that is tried again after
	// its quarantine, and terminates one more upstream, is refused for another period. The
	// terminations within seconds of the decision need no second write.
	quarantineRefresh = time.Minute
)

// quarantineRow identifies the row of a quarantine in the registry.
type quarantineRow struct {
	fingerprint poison.Fingerprint
	region      string
}

// rowState is what this host knows of a row.
type rowState struct {
	// stored is set while this host knows that the row is stored. last is when the last
	// upstream terminated, as of that row.
	stored bool
	last   time.Time
	// attempts is the number of this process's writes since the last one that succeeded.
	// written is set once this process has tried to write the row.
	attempts int
	written  bool
}

// quarantineWrite is a quarantine to be written to a row.
type quarantineWrite struct {
	quarantineRow
	poison.Quarantine
}

// StoreQuarantines makes this host check at once which quarantines it must store.
func (f *Fleet) StoreQuarantines() {
	select {
	case f.quarantinesChanged <- struct{}{}:
	default: // a check is due already
	}
}

// keepQuarantinesStored stores the quarantines for which this host is responsible until
// the context ends. Errors are not logged, because the watchers of the tables log that
// the store is unavailable.
func (f *Fleet) keepQuarantinesStored(ctx context.Context) {
	for ctx.Err() == nil {
		next, released, ok := f.nextQuarantineWrite(time.Now())
		for _, row := range released {
			_ = f.options.Registry.Release(ctx, row.region, row.fingerprint) // see RemoveQuarantine
		}
		if ok {
			if !f.writeQuarantine(ctx, next) {
				pause.For(ctx, quarantineRetryDelay)
			}
			continue
		}
		select {
		case <-ctx.Done():
		case <-f.quarantinesChanged:
		case <-time.After(quarantineCheckInterval):
		}
	}
}

// nextQuarantineWrite returns a quarantine that this host must write, the one with the
// fewest failed writes, so that a row that cannot be written does not delay the others.
// It also returns the rows that this process has written and that are released by now; a
// write may have been under way at the release.
func (f *Fleet) nextQuarantineWrite(now time.Time) (next quarantineWrite, released []quarantineRow, ok bool) {
	if f.options.Suspicions == nil {
		return quarantineWrite{}, nil, false
	}
	quarantines := f.options.Suspicions.Quarantines(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	released = f.forgetReleased(quarantines)
	writer := len(quarantines) > 0 && f.members.writesQuarantines(now)
	fewest := 0
	for _, q := range quarantines {
		for _, region := range f.rowsToWrite(q, writer) {
			row := quarantineRow{q.Fingerprint, region}
			s := f.quarantineRows[row]
			if s.stored && q.Last.Sub(s.last) < quarantineRefresh || ok && s.attempts >= fewest {
				continue
			}
			next, fewest, ok = quarantineWrite{row, q}, s.attempts, true
		}
	}
	return next, released, ok
}

// rowsToWrite returns the regions under which this host stores a quarantine, its own first.
func (f *Fleet) rowsToWrite(q poison.Quarantine, writer bool) []string {
	switch {
	case q.Own:
		return f.members.regions()
	case writer:
		return []string{f.options.Self.Region}
	default:
		return nil
	}
}

// forgetReleased forgets the rows of requests that are no longer quarantined, and returns
// those that this process has written.
func (f *Fleet) forgetReleased(quarantines []poison.Quarantine) (written []quarantineRow) {
	for row, s := range f.quarantineRows {
		if slices.ContainsFunc(quarantines, func(q poison.Quarantine) bool { return q.Fingerprint == row.fingerprint }) {
			continue
		}
		if s.written {
			written = append(written, row)
		}
		delete(f.quarantineRows, row)
	}
	return written
}

// writeQuarantine writes a quarantine and reports whether that succeeded.
func (f *Fleet) writeQuarantine(ctx context.Context, w quarantineWrite) bool {
	err := f.options.Registry.Quarantine(ctx, w.region, StoredQuarantine{Report: w.Report, StoredAt: time.Now().UnixMilli()})
	f.mu.Lock()
	s := f.quarantineRows[w.quarantineRow]
	s.written = true
	s.attempts++
	attempts := s.attempts
	if err == nil {
		s.stored, s.last, s.attempts = true, w.Last, 0
	}
	f.quarantineRows[w.quarantineRow] = s
	f.mu.Unlock()
	if err == nil {
		f.options.Report.QuarantineStored(w.Fingerprint, w.region, attempts)
	}
	return err == nil
}

// recordStored records that the registry has a quarantine under a region, so that the
// writers among the hosts that start do not write what they have just read.
func (f *Fleet) recordStored(region string, r poison.Report, now time.Time) {
	row := quarantineRow{r.Fingerprint, region}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.quarantineRows[row]
	s.stored, s.last = true, r.Last(now)
	f.quarantineRows[row] = s
}

// forgetStored makes this host write the quarantines again for which it is responsible.
func (f *Fleet) forgetStored() {
	f.mu.Lock()
	for row, s := range f.quarantineRows {
		s.stored = false
		f.quarantineRows[row] = s
	}
	f.mu.Unlock()
	f.StoreQuarantines()
}

// writesQuarantines reports whether this host is one of the writers of its region: the
// first live hosts that do not leave, by rank.
func (m *members) writesQuarantines(now time.Time) bool {
	preceding := 0
	for _, name := range m.indexed().byRank {
		if name == m.self.Name {
			return true
		}
		if p := m.peers[name]; p.alive(now) && !p.status.Leaving {
			preceding++
		}
		if preceding == quarantineWriters {
			return false
		}
	}
	return false
}

// RemoveQuarantine removes a quarantine that this host released. An entry that remains
// after an error is valid for an hour at most, and only for hosts that start while no
// other host runs.
func (f *Fleet) RemoveQuarantine(ctx context.Context, fingerprint poison.Fingerprint) {
	for _, region := range f.regions() {
		_ = f.options.Registry.Release(ctx, region, fingerprint)
	}
}
