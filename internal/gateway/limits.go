package gateway

import (
	"cmp"
	"time"

	"cairndock/internal/gateway/exchange"
	"cairndock/internal/settings"
)

const (
	// maxHeadBytes is the maximum of limits.max_response_head_bytes. A hundred heads of this
	// size in flight take more than half of the memory of a small host, 184 MB.
	maxHeadBytes = 1 << 20
	// minBodyBytes and maxBodyBytes are the range of limits.max_response_body_bytes. Bodies are
	// not kept in memory, so that the maximum is only a bound on values that are mistakes.
	minBodyBytes = 1 << 20
	maxBodyBytes = 1 << 40
)

func (l LimitSettings) checkResponses(f *settings.Faults) {
	head, body := l.MaxResponseHeadBytes, l.MaxResponseBodyBytes
	f.Require(head >= exchange.MinHeadBytes && head <= maxHeadBytes, "limits.max_response_head_bytes", "must be from 4096 to 1048576")
	f.Require(body >= minBodyBytes && body <= maxBodyBytes, "limits.max_response_body_bytes", "must be from 1048576 to 1099511627776")
}

func (l LimitSettings) responses() exchange.ResponseLimits {
	return exchange.ResponseLimits{HeadBytes: l.MaxResponseHeadBytes, BodyBytes: l.MaxResponseBodyBytes}
}

// maxKeyAge returns the maximum age of the configuration at which keys are accepted;
// zero means any age.
func (l LimitSettings) maxKeyAge() time.Duration {
	if !l.StrictRevocation {
		return 0
	}
	return time.Duration(l.RevokeWithin)
}

// Staleness returns the maximum age of a host's replicas while the host reaches the
// store: the tightest of ApplyWithin, DrainWithin and EvacuateWithin.
func (l LimitSettings) Staleness() time.Duration {
	var tightest time.Duration
	for _, d := range []settings.Duration{l.ApplyWithin, l.DrainWithin, l.EvacuateWithin} {
		if bound := time.Duration(d); bound > 0 && (tightest == 0 || bound < tightest) {
			tightest = bound
		}
	}
	return cmp.Or(tightest, defaultStaleness)
}
