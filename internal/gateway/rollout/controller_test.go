package rollout

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/upstream"
)

// fakeStore keeps one record and the evidence of regions in memory.
type fakeStore struct {
	record   *Record
	order    int64
	evidence map[string]RegionEvidence
	now      int64
	down     bool
	writes   int
}

func (s *fakeStore) Now() (int64, bool) { return s.now, true }

func (s *fakeStore) Advance(_ context.Context, r Record, withdrawn bool) error {
	s.writes++
	if s.down {
		return errors.New("down")
	}
	order, revision := r.Version, int64(0)
	if withdrawn {
		order = 0
	}
	if s.record != nil {
		revision = s.record.Revision
	}
	if order != s.order || r.Revision != revision {
		return ErrConflict
	}
	r.Revision = 100 + int64(s.writes)
	s.record = &r
	return nil
}

func (s *fakeStore) PutEvidence(_ context.Context, e RegionEvidence) error {
	if s.down {
		return errors.New("down")
	}
	s.evidence[e.Region] = e
	return nil
}

func (s *fakeStore) Evidence(context.Context) (all []RegionEvidence, err error) {
	if s.down {
		return nil, errors.New("down")
	}
	for _, e := range s.evidence {
		all = append(all, e)
	}
	return all, nil
}

// soleHosts is a region with one host, which collects the region's reports.
type soleHosts struct{ id uint64 }

func (soleHosts) SendReport(context.Context, Report) (Reply, bool, error) { return nil, true, nil }
func (h soleHosts) AllConfirmed(sum uint64) bool                          { return sum == h.id }

// region is a region's only host.
type region struct {
	*testTable
	controller *Controller
}

// newRegions returns hosts of the given regions that share a store.
func newRegions(s *fakeStore, names ...string) []region {
	regions := make([]region, 0, len(names))
	for _, name := range names {
		t := newTestTable()
		regions = append(regions, region{t, NewController(ControllerOptions{
			Table: t.Table, Store: s, Hosts: soleHosts{5}, Region: name, Regions: names,
			Upstreams: func() *upstream.Set { return t.set }, MaxRequest: func(string) time.Duration { return time.Second }, Limits: Limits{Fraction: 0.1, Slack: 50},
		})})
	}
	return regions
}

// play lets all regions report until the store's time, and passes each change of the record on.
func play(t *testing.T, s *fakeStore, regions []region, until time.Duration, now *time.Time) {
	t.Helper()
	for ; s.now < until.Milliseconds(); s.now += ReportInterval.Milliseconds() {
		*now = now.Add(ReportInterval)
		for _, r := range regions {
			r.controller.Step(t.Context(), *now)
			for _, other := range regions {
				if s.record != nil {
					other.PutRecord(*s.record)
				}
			}
		}
	}
}

func TestRegionsRollOutTogether(t *testing.T) {
	for _, c := range []struct {
		name string
		// disturb changes something after a second.
		disturb func(s *fakeStore, regions []region)
		want    Phase
	}{
		{"a good version", func(*fakeStore, []region) {}, Succeeded},
		{"a bad version, seen by one region", func(_ *fakeStore, regions []region) {
			for range 60 {
				for _, u := range versions(map[string]int{"v2": 4}) {
					regions[1].Sent("s", "r", u, true, time.Now()).End(Failed, time.Now())
				}
				regions[1].Sent("s", "r", versions(map[string]int{"v1": 1})[0], true, time.Now()).End(Answered, time.Now())
			}
		}, RolledBack},
		{"an order that is withdrawn", func(s *fakeStore, regions []region) {
			s.order = 0
			for _, r := range regions {
				r.SetOrders(map[string]Order{})
			}
		}, RolledBack},
		{"a request that does not end elsewhere", func(_ *fakeStore, regions []region) { regions[2].inFlight = 1 }, Shift},
		{"a region that is cut off", func(_ *fakeStore, regions []region) {
			regions[2].controller.Hosts = soleHosts{6}
		}, Shift},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &fakeStore{order: testOrder.Version, evidence: map[string]RegionEvidence{}}
			regions, now := newRegions(s, "a", "b", "c"), time.Now()
			for _, r := range regions {
				r.SetOrders(orders(testOrder))
			}
			play(t, s, regions, time.Second, &now)
			require.Equal(t, Canary, s.record.Phase)
			c.disturb(s, regions)
			play(t, s, regions, testOrder.Duration+5*time.Second, &now)
			require.Equal(t, c.want, s.record.Phase)
		})
	}
}

// While the store is out of reach nothing can be decided. Hosts must then stop sending requests
// to a bad version all the same.
func TestABadVersionIsSuspendedWhileTheStoreIsDown(t *testing.T) {
	s := &fakeStore{order: testOrder.Version, evidence: map[string]RegionEvidence{}}
	regions, now := newRegions(s, "a"), time.Now()
	host := regions[0]
	host.SetOrders(orders(testOrder))
	play(t, s, regions, time.Second, &now)
	require.Equal(t, []string{"v1", "v2", "v3"}, host.use())
	s.down = true
	for range 60 {
		for _, u := range versions(map[string]int{"v1": 1, "v2": 4}) {
			host.Sent("s", "r", u, true, now).End(map[bool]Outcome{true: Failed, false: Answered}[u.SoftwareVersion == "v2"], now)
		}
	}
	now = time.Now()
	host.controller.Step(t.Context(), now)
	require.Equal(t, []string{"v1", "v3"}, host.use())
	require.Equal(t, Canary, s.record.Phase)
}

// failingHosts fails to send reports while err is set.
type failingHosts struct {
	soleHosts
	err error
}

func (h *failingHosts) SendReport(context.Context, Report) (Reply, bool, error) {
	return nil, true, h.err
}

// failures counts the failures that are logged.
type failures struct {
	noopObserver
	count int
}

func (f *failures) RolloutNotReported(string, error) { f.count++ }

// Reports are sent several times per second. One that fails must be logged, but not each of them.
func TestAReportThatFailsIsLoggedOnce(t *testing.T) {
	s := &fakeStore{order: testOrder.Version, evidence: map[string]RegionEvidence{}}
	host, log, hosts := newRegions(s, "a")[0], &failures{}, &failingHosts{}
	host.options.Observer, host.controller.Hosts = log, hosts
	host.SetOrders(orders(testOrder))
	for _, err := range []error{nil, errors.New("refused"), errors.New("refused"), nil, errors.New("refused")} {
		hosts.err = err
		host.controller.Step(t.Context(), time.Now())
	}
	require.Equal(t, 2, log.count)
}
