package entry

import (
	"time"

	"cairndock/internal/selector/member"
)

// noteFresh takes over a peer's proof that its revision is the newest. Its
// age counts from when this host asked, so that a slow reply only makes the
// proof older than it is.
func (h *Host) noteFresh(b member.Heartbeat, askedAt int64) {
	if b.FreshAge < 0 || h.View().Revision() < b.Revision {
		return
	}
	h.setFresh(askedAt - b.FreshAge*int64(time.Millisecond))
}

func (h *Host) setFresh(at int64) {
	for {
		old := h.freshAt.Load()
		if at <= old {
			return
		}
		if h.freshAt.CompareAndSwap(old, at) {
			break
		}
	}
	h.becomeReady()
}

// becomeReady opens a starting host to callers once its configuration is
// known to be the newest and there is somewhere to send requests to.
func (h *Host) becomeReady() {
	if h.ready.Load() || h.Frozen() || !h.canSend() {
		return
	}
	if h.ready.CompareAndSwap(false, true) {
		h.log.Info().Uint64("revision", h.View().Revision()).Msg("entry: host is ready")
	}
}

// canSend reports whether the host holds slots or hears from another host.
// One whose zone has no upstreams at all has nothing to wait for.
func (h *Host) canSend() bool {
	waits := false
	for _, svc := range h.View().Services() {
		if h.services.Get(svc.Name).Gate.Load().Held > 0 {
			return true
		}
		waits = waits || len(svc.Local) > 0
	}
	return !waits || h.peers.AnyUp()
}
