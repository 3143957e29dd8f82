package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/quota"
	"cairndock/internal/peer"
)

// TokenProvider grants tokens of client accounts' limits to other hosts.
type TokenProvider interface {
	GrantTokens(request quota.TokenRequest) quota.TokenResponse
}

// RequestTokens requests tokens of a client account's limit from another host. It fails
// at once if the host is known to be dead, because a client's request may wait for the
// result.
func (f *Fleet) RequestTokens(ctx context.Context, host string, request quota.TokenRequest) (quota.TokenResponse, error) {
	address, err := f.liveAddress(host)
	if err != nil {
		return quota.TokenResponse{}, err
	}
	response, err := peer.Call[quota.TokenResponse](ctx, f.mesh, address, peer.KindTokens, request)
	return response, eris.Wrap(err, "request tokens")
}

func (f *Fleet) liveAddress(host string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.members.peers[host]
	switch {
	case p == nil:
		return "", eris.Errorf("host %s is unknown", host)
	case p.getsHeartbeats && !p.lastHeartbeat.IsZero() && !p.alive(time.Now()):
		return "", eris.Errorf("host %s is dead", host)
	default:
		return p.host.PeerAddress, nil
	}
}

// serveTokens serves a peer's request for tokens. A request that cannot be decoded fails
// without a log line here, because the peer turns to other hosts.
func (f *Fleet) serveTokens(payload []byte, w *peer.Responder) {
	request, err := peer.Decode[quota.TokenRequest](payload)
	if err != nil || f.options.Tokens == nil {
		fail(w)
		return
	}
	respond(w, f.options.Tokens.GrantTokens(request))
}
