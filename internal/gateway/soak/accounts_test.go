package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"cairndock/platform/platformtest"
)

const (
	// unlimitedKey is the API key of the account without a limit. All clients except
	// those of the limited account use it.
	unlimitedKey     = "key-of-the-open"
	unlimitedAccount = "open"
	// limitedKey is the API key of the account whose clients send more requests than its
	// limit allows.
	limitedKey     = "key-of-the-limited"
	limitedAccount = "limited"
	// limitedPrefix is the prefix of the IDs of the limited account's requests.
	limitedPrefix = "limited-"
	// limitedRate is the account's limit in requests per second, and its burst in
	// requests.
	limitedRate = 10
	// limitedClients is the number of clients of the limited account. Each pauses for
	// limitedMeanPause on average between two requests, so that together they send
	// several times the limit.
	limitedClients   = 6
	limitedMeanPause = 100 * time.Millisecond
	// quotaWindow, quotaOvershoot and quotaSlack are the bounds of the quota in the
	// hosts' settings.
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 5
	// rotatingAccount is an account whose only key changes with each version of the
	// configuration.
	rotatingAccount = "rotating"
)

// rotatingKey returns the only key of the rotating account in a version of the
// configuration.
func rotatingKey(version int) string { return fmt.Sprint("key-of-version-", version) }

// accountsOf returns the client accounts of a version of the configuration.
func accountsOf(version int) map[string]platformtest.Account {
	return map[string]platformtest.Account{
		unlimitedAccount: {Keys: []string{unlimitedKey}, Priority: 1},
		limitedAccount:   {Keys: []string{limitedKey}, Priority: 1, RatePerS: limitedRate, Burst: limitedRate},
		rotatingAccount:  {Keys: []string{rotatingKey(version)}, Priority: 1},
	}
}

// checkAccount checks the account that a host reports to the upstream, and that the
// client's key is not forwarded.
func (u *upstream) checkAccount(id string, r *http.Request) {
	if u.violation == nil {
		return
	}
	name, key := u.Account(r)
	if key != "" {
		u.violation("unasked: %s forwarded a client's key to %s", id, u.ID)
	}
	if limited := strings.HasPrefix(id, limitedPrefix); limited != (name == limitedAccount) {
		u.violation("unasked: %s reached %s with account %q", id, u.ID, name)
	}
}

// sendAboveLimit sends requests of the limited account to random hosts until the context
// ends.
func (c *client) sendAboveLimit(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.rand.IntN(int(2 * limitedMeanPause))))
		c.requests++
		c.sendLimited(c.world.hosts[c.rand.IntN(len(c.world.hosts))], fmt.Sprint(limitedPrefix, c.name, "-", c.requests))
	}
}

// sendLimited sends one request of the limited account. The response is not checked,
// because checkLimit only counts the requests that upstreams ran.
func (c *client) sendLimited(h *host, id string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+h.clients+"/safe/x", nil)
	if err != nil {
		c.world.violation("harness: request of %s: %v", c.name, err)
		return
	}
	req.Host = hostname
	platformtest.Request{ID: id, Credential: limitedKey, Timeout: probeTimeout}.SetHeaders(req.Header)
	c.world.recordLimited(id)
	resp, err := probeClient.Do(req)
	if err == nil {
		_ = resp.Body.Close() // the status is not needed
	}
}

func (w *world) recordLimited(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limitedSent[id] = time.Now()
}

// checkLimit checks that the number of requests of the limited account that were sent
// and run within any quotaWindow is within the bound, regardless of faults, and that the
// account was served at all.
func (w *world) checkLimit() {
	w.mu.Lock()
	sent := w.limitedSent
	w.mu.Unlock()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	const most = (limitedRate*float64(quotaWindow/time.Second)+limitedRate)*(1+quotaOvershoot) + quotaSlack
	for _, from := range sent {
		n := 0
		for id, ran := range w.ledger.ranAt {
			if !sent[id].Before(from) && ran.Sub(from) <= quotaWindow {
				n++
			}
		}
		if float64(n) > most {
			w.violation("quota: %d requests of one account ran in %s, %g allowed", n, quotaWindow, most)
			return
		}
	}
	if len(w.ledger.ranAt) < limitedRate {
		w.violation("quota: of %d requests of the limited account %d ran", len(sent), len(w.ledger.ranAt))
	}
	w.t.Logf("limited account: %d of %d requests ran", len(w.ledger.ranAt), len(sent))
}

// watchKeys probes whether a host accepts a revoked key. The host must not accept a key
// again after it refused this key, and must refuse it once the change of the
// configuration has to be in force.
func (w *world) watchKeys(ctx context.Context, h *host) {
	process, accepted, refused := 0, 0, 0
	for ctx.Err() == nil {
		time.Sleep(w.probeInterval())
		w.mu.Lock()
		newest := w.version
		w.mu.Unlock()
		if now := h.processNumber(); now != process {
			process, accepted, refused = now, 0, 0
		}
		old := newest - 1
		if old < 1 {
			continue
		}
		w.mu.Lock()
		revokedAt := w.acceptedAt[newest]
		w.mu.Unlock()
		due := w.storeDisruptions.settled() && h.settled() && time.Since(revokedAt) > maxApplyDelay+slack
		status := w.probeWith(h, 1, rotatingKey(old))
		sameProcess := h.processNumber() == process
		switch {
		case status == http.StatusOK && sameProcess && old <= refused:
			w.violation("key: %s accepts the key of version %d again", h.name, old)
		case status == http.StatusOK && due && sameProcess && h.settled():
			w.violation("key: %s accepts the key of version %d %s after it was revoked", h.name, old, time.Since(revokedAt))
		case status == http.StatusOK && sameProcess:
			accepted = old
		case status == http.StatusUnauthorized && sameProcess && old <= accepted:
			refused = old // a refusal before the first acceptance may mean that the host has not received the key yet
		}
	}
}
