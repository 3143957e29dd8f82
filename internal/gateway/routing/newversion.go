package routing

import (
	"time"

	"cairndock/internal/gateway/upstream"
	"cairndock/internal/gateway/watch"
)

// newVersionInterval is how often the upstreams of a new software version are checked again.
const newVersionInterval = 100 * time.Millisecond

// holdNewVersion reports whether an upstream is not used yet because the service has no other
// upstream of its software version. The operator may have ordered a roll-out of the version
// before the upstream was started. Both tables have one version counter, so that this host
// knows the order, or that there is none, once its copy of the operator's table is as new as
// the upstream's row. Until then a version whose order limits it would get the requests of
// any other upstream. Upstreams of a version without an order are used like all others,
// because operators also replace upstreams without a roll-out. s.mu must be held.
func (s *State) holdNewVersion(row watch.Row, r upstream.Registration) bool {
	used := s.versions[r.Service]
	if used == nil {
		used = map[string]bool{}
		s.versions[r.Service] = used
	}
	if s.synced.Load() && len(used) > 0 && !used[r.SoftwareVersion] && s.operatorVersion != nil && s.operatorVersion().Number < row.Version {
		if len(s.newVersions) == 0 {
			time.AfterFunc(newVersionInterval, s.retryNewVersions)
		}
		s.newVersions[row.Key] = row
		return true
	}
	used[r.SoftwareVersion] = true
	delete(s.newVersions, row.Key)
	return false
}

// retryNewVersions applies the rows of upstreams that were held, if that is possible now.
func (s *State) retryNewVersions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.newVersions
	s.newVersions = map[string]watch.Row{}
	for _, row := range held {
		s.putUpstream(row, time.Now(), s.putCurrent)
	}
	s.publish()
}
