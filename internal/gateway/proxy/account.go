package proxy

import (
	"cairndock/internal/verdict"
)

// authenticate finds the request's client account by its key. Where accounts are
// configured, only routes that are public serve a request without one.
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

// checkKeyAge fails if the host has not heard for too long whether the request's key was
// taken away.
func (f *inflight) checkKeyAge() error {
	most := f.proxy.MaxKeyAge
	if most == 0 || f.account == nil {
		return nil
	}
	f.proxy.SuspendWatch.Check() // the age counts the time suspended
	if age := f.proxy.ConfigAge(); age > most {
		return verdict.New(verdict.NotRun, verdict.KeyUnconfirmed, "the configuration was last confirmed %d ms ago", age.Milliseconds())
	}
	return nil
}

// confirmKey is asked before each attempt, as the key may have been taken away since the
// request came: a retry then would run what is not allowed any more.
func (f *inflight) confirmKey() error {
	if f.account == nil {
		return nil
	}
	now := f.proxy.State.Config()
	if now == f.config || now.Accounts == nil {
		return f.checkKeyAge()
	}
	if _, ok := now.Accounts.ByKey(f.info.Credential); !ok && !f.route.Public {
		return errUnknownKey()
	}
	return f.checkKeyAge()
}

// takeToken takes the request's token of its account's limit.
func (f *inflight) takeToken() error {
	if f.account == nil || !f.account.Limited() {
		return nil
	}
	f.proxy.SuspendWatch.Check() // tokens of other hosts lapse while it is suspended
	refusal, ok := f.proxy.Quota.Admit(f.client, f.account)
	if ok {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.OverLimit, "this host holds %d of %d parts of %.1f requests a second, and got %.1f of %.1f that it asked others for",
		refusal.Shards, refusal.TotalShards, refusal.Rate, refusal.Received, refusal.Requested).WithRetryAfter(refusal.RetryAfter)
}

// errUnknownKey does not say which key, as errors are logged.
func errUnknownKey() error {
	return verdict.New(verdict.NotRun, verdict.UnknownKey, "the key is missing, repeated or of no client account")
}

// accountName is the name of the request's account, or empty.
func (f *inflight) accountName() string {
	if f.account == nil {
		return ""
	}
	return f.account.Name
}

// priority is the account's, if it has one, or else the route's.
func (f *inflight) priority() int {
	if f.account != nil && f.account.Priority != nil {
		return *f.account.Priority
	}
	return f.route.Priority
}

// hasHome reports whether the request may be served in some regions only.
func (f *inflight) hasHome() bool {
	return len(f.route.Regions) > 0 || f.account != nil && len(f.account.Regions) > 0
}

// allows reports whether the request may be served in a region: the homes of its route
// and of its account bind both.
func (f *inflight) allows(region string) bool {
	return f.route.Allows(region) && (f.account == nil || f.account.Allows(region))
}
