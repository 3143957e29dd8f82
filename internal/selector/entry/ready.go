package entry

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
