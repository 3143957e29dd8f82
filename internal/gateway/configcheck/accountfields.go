package configcheck

import (
	"fmt"
	"strings"

	"cairndock/internal/gateway/account"
)

// maxKeysShown is the number of keys that one finding shows.
const maxKeysShown = 5

// accounts compares the accounts.
func (c comparison) accounts() []Finding {
	if c.after.Accounts == nil {
		if c.before.Accounts == nil {
			return nil
		}
		return []Finding{
			differencef("removed", c.names.Accounts, "requests need no key"),
			warningf("accounts", c.names.Accounts, "all accounts are removed, and requests need no key"),
		}
	}
	var all []Finding
	if c.before.Accounts == nil {
		all = append(all, differencef("added", c.names.Accounts, "requests need a key"),
			warningf("accounts", c.names.Accounts, "requests without a key are refused from now on"))
	}
	name := func(e *account.Entry) string { return e.Account.Name }
	before, after := byName(c.before.Accounts, name), byName(c.after.Accounts, name)
	oldOwners, newOwners := owners(c.before.Accounts), owners(c.after.Accounts)
	for i := range c.before.Accounts {
		e := &c.before.Accounts[i]
		if after[e.Account.Name] == nil {
			all = append(all, differencef("removed", c.names.account(e.Account.Name, ""), "its requests are refused, unless its keys belong to another account"))
		}
		all = append(all, c.lostKeys(e, newOwners)...)
	}
	for i := range c.after.Accounts {
		e := &c.after.Accounts[i]
		old := before[e.Account.Name]
		if old == nil {
			all = append(all, differencef("added", c.names.account(e.Account.Name, ""), "limit of %g requests per second (0 is none)", e.Account.Rate))
		} else {
			all = append(all, c.changedAccount(&old.Account, &e.Account)...)
		}
		all = append(all, c.gainedKeys(e, oldOwners)...)
	}
	return all
}

// owners returns the account of each key.
func owners(entries []account.Entry) map[string]string {
	m := map[string]string{}
	for i := range entries {
		for _, key := range entries[i].Keys {
			if key != "" {
				m[key] = entries[i].Account.Name
			}
		}
	}
	return m
}

// lostKeys returns the keys of an account that stop working or move to another account.
func (c comparison) lostKeys(e *account.Entry, now map[string]string) []Finding {
	var stop, move []string
	for _, key := range uniqueKeys(e.Keys) {
		switch owner, ok := now[key]; {
		case !ok:
			stop = append(stop, Mask(key))
		case owner != e.Account.Name:
			move = append(move, fmt.Sprintf("%s to %q", Mask(key), owner))
		}
	}
	var all []Finding
	place := c.names.account(e.Account.Name, c.names.Keys)
	if len(stop) > 0 {
		all = append(all, differencef("key-removed", place, "keys that stop working: %s", shown(stop)))
	}
	if len(move) > 0 {
		all = append(all, differencef("key-moved", place, "keys that move to another account: %s", shown(move)))
	}
	return all
}

// gainedKeys returns the keys of an account that begin to work.
func (c comparison) gainedKeys(e *account.Entry, before map[string]string) []Finding {
	var start []string
	for _, key := range uniqueKeys(e.Keys) {
		if _, ok := before[key]; !ok {
			start = append(start, Mask(key))
		}
	}
	if len(start) == 0 {
		return nil
	}
	return []Finding{differencef("key-added", c.names.account(e.Account.Name, c.names.Keys), "keys that begin to work: %s", shown(start))}
}

// uniqueKeys returns the keys that are not empty, each of them once.
func uniqueKeys(keys []string) []string {
	seen := make(map[string]bool, len(keys))
	var all []string
	for _, key := range keys {
		if key != "" && !seen[key] {
			seen[key] = true
			all = append(all, key)
		}
	}
	return all
}

func (c comparison) changedAccount(a, b *account.Account) []Finding {
	var all []Finding
	add := func(field, format string, args ...any) {
		all = append(all, differencef("changed", c.names.account(b.Name, field), format, args...))
	}
	if a.Rate != b.Rate {
		add(c.names.Rate, "requests per second: %s", limitChange(a.Rate, b.Rate))
	}
	if a.Burst != b.Burst {
		add(c.names.Burst, "requests at once: %s", change(a.Burst, b.Burst))
	}
	if from, to := priorityOf(a), priorityOf(b); from != to {
		add(c.names.Priority, "from %s to %s", from, to)
	}
	if from, to := regionList(a.Regions), regionList(b.Regions); from != to {
		add(c.names.Regions, "from %s to %s%s", from, to, regionEffect(a.Regions, b.Regions))
	}
	return all
}

func priorityOf(a *account.Account) string {
	if a.Priority == nil {
		return "that of the route"
	}
	return fmt.Sprint(*a.Priority)
}

// shown returns the number of keys and the first of them.
func shown(keys []string) string {
	text := strings.Join(keys[:min(len(keys), maxKeysShown)], ", ")
	if more := len(keys) - maxKeysShown; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return fmt.Sprintf("%d (%s)", len(keys), text)
}

// Mask returns the first four characters of a key, or the first half of a shorter one, so
// that a short key is not shown in full.
func Mask(key string) string {
	chars := []rune(key)
	return string(chars[:min(4, len(chars)/2)]) + "…"
}
