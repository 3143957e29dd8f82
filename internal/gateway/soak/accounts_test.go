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
	// openKey is the key of the account without a limit, to which all other clients
	// belong.
	openKey     = "key-of-the-open"
	openAccount = "open"
	// limitedKey is that of the account whose clients send more than its limit.
	limitedKey     = "key-of-the-limited"
	limitedAccount = "limited"
	// limitedPrefix begins the ids of its requests.
	limitedPrefix = "limited-"
	// limitedRate is its limit, and burst, in requests a second and requests.
	limitedRate = 10
	// limitedClients are how many clients it has, each with limitedPause between two
	// requests: several times its limit.
	limitedClients = 6
	limitedPause   = 100 * time.Millisecond
	// limitWindow, limitOvershoot and limitSlack are the bound in the hosts' settings.
	limitWindow    = 5 * time.Second
	limitOvershoot = 0.1
	limitSlack     = 5
	// rotatingAccount has another key in each version of the configuration.
	rotatingAccount = "rotating"
)

// rotatingKey is the only key of the rotating account in a version.
func rotatingKey(version int) string { return fmt.Sprint("key-of-version-", version) }

// accountsOf are the client accounts of a version.
func accountsOf(version int) map[string]platformtest.Account {
	return map[string]platformtest.Account{
		openAccount:     {Keys: []string{openKey}, Priority: 1},
		limitedAccount:  {Keys: []string{limitedKey}, Priority: 1, RatePerS: limitedRate, Burst: limitedRate},
		rotatingAccount: {Keys: []string{rotatingKey(version)}, Priority: 1},
	}
}

// checkAccount checks what an upstream is told of a request's client.
func (u *upstream) checkAccount(id string, r *http.Request) {
	if u.violation == nil {
		return
	}
	name, key := u.Account(r)
	if key != "" {
		u.violation("unasked: %s brought a client's key to %s", id, u.ID)
	}
	if limited := strings.HasPrefix(id, limitedPrefix); limited != (name == limitedAccount) {
		u.violation("unasked: %s came to %s as of account %q", id, u.ID, name)
	}
}

// exceed sends requests of the limited account until the context ends, to hosts of
// chance.
func (c *client) exceed(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.rand.IntN(int(2 * limitedPause))))
		c.requests++
		c.sendLimited(c.world.hosts[c.rand.IntN(len(c.world.hosts))], fmt.Sprint(limitedPrefix, c.name, "-", c.requests))
	}
}

// sendLimited sends one request of the limited account. Its response is checked by no
// one: only what runs counts.
func (c *client) sendLimited(h *host, id string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+h.clients+"/safe/x", nil)
	if err != nil {
		c.world.violation("harness: request of %s: %v", c.name, err)
		return
	}
	req.Host = hostname
	platformtest.Request{ID: id, Credential: limitedKey, Timeout: probeTimeout}.SetHeaders(req.Header)
	c.world.noteLimited(id)
	resp, err := probeClient.Do(req)
	if err == nil {
		_ = resp.Body.Close() // its status is of no use here
	}
}

func (w *world) noteLimited(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limitedSent[id] = time.Now()
}

// checkLimit checks that in no window more requests of the limited account were sent and
// run than its bound, whatever went wrong, and that it was served at all.
func (w *world) checkLimit() {
	w.mu.Lock()
	sent := w.limitedSent
	w.mu.Unlock()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	const most = (limitedRate*float64(limitWindow/time.Second)+limitedRate)*(1+limitOvershoot) + limitSlack
	for _, from := range sent {
		n := 0
		for id, ran := range w.ledger.ranAt {
			if !sent[id].Before(from) && ran.Sub(from) <= limitWindow {
				n++
			}
		}
		if float64(n) > most {
			w.violation("quota: %d requests of one account ran in %s, %g allowed", n, limitWindow, most)
			return
		}
	}
	if len(w.ledger.ranAt) < limitedRate {
		w.violation("quota: of %d requests of the limited account %d ran", len(sent), len(w.ledger.ranAt))
	}
	w.t.Logf("limited account: %d of %d requests ran", len(w.ledger.ranAt), len(sent))
}

// watchKeys probes whether a host accepts a key that was taken away: not once it has
// refused that key, and not later than a change must be in force.
func (w *world) watchKeys(ctx context.Context, h *host) {
	process, accepted, refused := 0, 0, 0
	for ctx.Err() == nil {
		time.Sleep(w.probeEvery())
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
		takenAway := w.acceptedAt[newest]
		w.mu.Unlock()
		due := w.storeDisruptions.calm() && h.calm() && time.Since(takenAway) > applyWithin+slack
		status := w.probeWith(h, 1, rotatingKey(old))
		same := h.processNumber() == process
		switch {
		case status == http.StatusOK && same && old <= refused:
			w.violation("key: %s accepts the key of version %d again", h.name, old)
		case status == http.StatusOK && due && same && h.calm():
			w.violation("key: %s accepts the key of version %d %s after it was taken away", h.name, old, time.Since(takenAway))
		case status == http.StatusOK && same:
			accepted = old
		case status == http.StatusUnauthorized && same && old <= accepted:
			refused = old // before it was accepted, the host may not have heard of it yet
		}
	}
}
