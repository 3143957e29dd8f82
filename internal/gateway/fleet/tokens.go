package fleet

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/quota"
	"cairndock/internal/peer"
)

// TokenGiver gives tokens of client accounts' limits to other hosts.
type TokenGiver interface {
	GiveTokens(ask quota.TokenRequest) quota.TokenResponse
}

// AskTokens asks another host for tokens of a client account's limit. One that is known
// to be dead is not asked, as a request may wait for the answer.
func (f *Fleet) AskTokens(ctx context.Context, host string, ask quota.TokenRequest) (quota.TokenResponse, error) {
	address, err := f.addressToAsk(host)
	if err != nil {
		return quota.TokenResponse{}, err
	}
	answer, err := peer.Call[quota.TokenResponse](ctx, f.mesh, address, peer.KindTokens, ask)
	return answer, eris.Wrap(err, "ask for tokens")
}

func (f *Fleet) addressToAsk(host string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.members.peers[host]
	switch {
	case p == nil:
		return "", eris.Errorf("host %s is not known", host)
	case p.getsHeartbeats && !p.lastHeartbeat.IsZero() && !p.alive(time.Now()):
		return "", eris.Errorf("host %s is dead", host)
	default:
		return p.host.PeerAddress, nil
	}
}

// serveTokens serves a peer's question for tokens. One that can't be decoded fails
// without a log line here: the peer asks others.
func (f *Fleet) serveTokens(payload []byte, w *peer.Responder) {
	ask, err := peer.Decode[quota.TokenRequest](payload)
	if err != nil || f.options.Tokens == nil {
		fail(w)
		return
	}
	respond(w, f.options.Tokens.GiveTokens(ask))
}
