package rollout

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// cutStore is a store that a host does not reach while cut is set.
type cutStore struct {
	*fakeStore
	cut bool
}

var errCut = errors.New("cut off")

func (s *cutStore) Advance(ctx context.Context, r Record, withdrawn bool) error {
	if s.cut {
		return errCut
	}
	return s.fakeStore.Advance(ctx, r, withdrawn)
}

func (s *cutStore) PutEvidence(ctx context.Context, e RegionEvidence) error {
	if s.cut {
		return errCut
	}
	return s.fakeStore.PutEvidence(ctx, e)
}

func (s *cutStore) Evidence(ctx context.Context) ([]RegionEvidence, error) {
	if s.cut {
		return nil, errCut
	}
	return s.fakeStore.Evidence(ctx)
}

const (
	// rollBackBound is the time from the 50th bad response of a version to its last request.
	rollBackBound = 5 * time.Second
	// outerBound is by how much that is extended while the store is disturbed.
	outerBound = 6 * time.Second
)

// OUTER: while the store is cut off from some hosts, or has lost its history, hosts that reach it
// must send nothing to a bad version at most 6 s later than its bound otherwise says, and must not
// begin again when the store or the other hosts are back.
func TestOuterARollBackWhileTheStoreIsDisturbed(t *testing.T) {
	for _, c := range []struct {
		name string
		// cut are the regions that do not reach the store, bad those whose requests show the
		// fault, and lost is set if the store loses the record and its revisions.
		cut, bad []int
		lost     bool
		phase    Phase
	}{
		{"the region that writes first is cut off", []int{0}, []int{0, 1, 2}, false, Canary},
		{"two regions are cut off", []int{0, 1}, []int{0, 1, 2}, false, Canary},
		{"the fault shows in one region that reaches the store", []int{0}, []int{2}, false, Canary},
		{"the store has lost its history", nil, []int{0, 1, 2}, true, Canary},
		{"lost history, and the first region is cut off", []int{0}, []int{0, 1, 2}, true, Canary},
		{"in the ramp, lost history, and the first region is cut off", []int{0}, []int{0, 1, 2}, true, Ramp},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{order: testOrder.Version, evidence: map[string]RegionEvidence{}}
				regions, stores := newCutRegions(s, "a", "b", "c")
				wait(t, s, regions, stores, time.Second, func() {})
				if c.phase == Ramp {
					ramp := s.record.WithPhase(Ramp, "", s.now)
					ramp.Fraction, ramp.Revision = rampFraction, s.record.Revision+1
					s.record = &ramp
					wait(t, s, regions, stores, ReportInterval, func() {})
				}
				for i := range regions {
					require.True(t, usesTarget(regions[i]))
					stores[i].cut = slices.Contains(c.cut, i)
				}
				if c.lost {
					older := *s.record
					older.Revision, older.Fraction = 1, 0
					s.record, s.writes = &older, -99
					for i, r := range regions {
						if !stores[i].cut {
							r.StoreRestored()
						}
					}
				}
				fiftieth, last := s.now, int64(0)
				for i, r := range regions {
					serveBadVersion(r, 25, slices.Contains(c.bad, i))
				}
				wait(t, s, regions, stores, rollBackBound+outerBound, func() {
					for i, r := range regions {
						if !stores[i].cut && usesTarget(r) {
							last = s.now
						}
						serveBadVersion(r, 1, usesTarget(r) && slices.Contains(c.bad, i))
					}
				})
				require.Equal(t, RolledBack, s.record.Phase)
				require.LessOrEqual(t, time.Duration(last-fiftieth)*time.Millisecond, rollBackBound+outerBound)
				for i := range stores {
					stores[i].cut = false
				}
				wait(t, s, regions, stores, time.Second, func() {})
				for _, r := range regions {
					require.False(t, usesTarget(r), "after the disturbance")
				}
			})
		})
	}
}

// newCutRegions returns hosts of regions that share a store, each over a cutStore of its own.
func newCutRegions(s *fakeStore, names ...string) ([]region, []*cutStore) {
	regions, stores := newRegions(s, names...), make([]*cutStore, len(names))
	for i, r := range regions {
		stores[i] = &cutStore{fakeStore: s}
		r.controller.Store = stores[i]
		r.SetOrders(orders(testOrder))
	}
	return regions, stores
}

// wait lets time pass, in which the regions report and learn of changes of the record, and calls
// each in every interval.
func wait(t *testing.T, s *fakeStore, regions []region, stores []*cutStore, d time.Duration, each func()) {
	t.Helper()
	for end := s.now + d.Milliseconds(); s.now < end; s.now += ReportInterval.Milliseconds() {
		time.Sleep(ReportInterval)
		for i, r := range regions {
			r.controller.Step(t.Context(), time.Now())
			if !stores[i].cut && s.record != nil {
				r.PutRecord(*s.record)
			}
		}
		each()
	}
}

// usesTarget reports whether a host may send a request to the target.
func usesTarget(r region) bool { return slices.Contains(r.use(), "v2") }

// serveBadVersion records requests at each upstream of two versions. Those at the target fail if it
// is bad there.
func serveBadVersion(r region, count int, bad bool) {
	now := time.Now()
	for range count {
		for _, u := range versions(map[string]int{"v1": 4, "v2": 4}) {
			outcome := Answered
			if bad && u.SoftwareVersion == "v2" {
				outcome = Failed
			}
			r.Sent("s", "r", u, true, now).End(outcome, now)
		}
	}
}
