package proxy

import (
	"cairndock/internal/gateway/account"
	"cairndock/internal/verdict"
)

// authenticate finds the client account of a request by its API key. If accounts are
// configured, only public routes serve requests without an account.
func (f *inflight) authenticate() error {
	if f.config.Accounts == nil {
		return nil
	}
	if f.info.Credentials == 1 {
		f.account, _ = f.config.Accounts.ByKey(f.info.Credential)
	}
	if f.account == nil && !f.route.Public {
		return errUnknownKey()
	}
	return f.checkKeyAge()
}

// checkKeyAge fails if the configuration is too old to be sure that the request's API key
// has not been revoked.
func (f *inflight) checkKeyAge() error {
	maxAge := f.proxy.MaxKeyAge
	if maxAge == 0 || f.account == nil {
		return nil
	}
	f.proxy.SuspendWatch.Check() // ConfigAge must include the time suspended
	if age := f.proxy.ConfigAge(); age > maxAge {
		return verdict.New(verdict.NotRun, verdict.KeyUnconfirmed, "the configuration was last confirmed %d ms ago", age.Milliseconds())
	}
	return nil
}

// confirmKey checks the API key again before each attempt. The key may have been revoked
// since the request arrived, and a retry would then run a request that is no longer
// allowed.
func (f *inflight) confirmKey() error {
	if f.account == nil {
		return nil
	}
	current := f.proxy.State.Config()
	if current == f.config || current.Accounts == nil {
		return f.checkKeyAge()
	}
	if !f.isKnownTo(current.Accounts) && !f.route.Public {
		return errUnknownKey()
	}
	return f.checkKeyAge()
}

// isKnownTo reports whether the request's account is in a set. A request of another host has
// no API key, because that host has checked it.
func (f *inflight) isKnownTo(accounts *account.Set) bool {
	if f.indirect {
		_, ok := accounts.ByName(f.account.Name)
		return ok
	}
	_, ok := accounts.ByKey(f.info.Credential)
	return ok
}

// takeToken takes a token from the rate limit of the request's account.
func (f *inflight) takeToken() error {
	if f.account == nil || !f.account.Limited() {
		return nil
	}
	f.proxy.SuspendWatch.Check() // tokens from other hosts expire while the machine is suspended
	refusal, ok := f.proxy.Quota.Admit(f.clientCtx, f.account)
	if ok {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.OverLimit, "this host holds %d of %d shards of %.1f requests per second and received tokens for %.1f of %.1f requests from other hosts",
		refusal.Shards, refusal.TotalShards, refusal.Rate, refusal.Received, refusal.Requested).WithRetryAfter(refusal.RetryAfter)
}

// errUnknownKey returns the error for a request without a valid API key. It does not
// contain the key, because errors are logged.
func errUnknownKey() error {
	return verdict.New(verdict.NotRun, verdict.UnknownKey, "the API key is missing, repeated or belongs to no client account")
}

// accountName returns the name of the request's account, or an empty string.
func (f *inflight) accountName() string {
	if f.account == nil {
		return ""
	}
	return f.account.Name
}

// priority returns the priority of the account if it has one, otherwise that of the
// route.
func (f *inflight) priority() int {
	if f.account != nil && f.account.Priority != nil {
		return *f.account.Priority
	}
	return f.route.Priority
}

// isRegionRestricted reports whether the request may be served only in some regions.
func (f *inflight) isRegionRestricted() bool {
	return len(f.route.Regions) > 0 || f.account != nil && len(f.account.Regions) > 0
}

// allows reports whether the request may be served in a region. Both its route and its
// account must allow the region.
func (f *inflight) allows(region string) bool {
	return f.route.Allows(region) && (f.account == nil || f.account.Allows(region))
}
