// Package account holds the client accounts of the operator configuration: their keys,
// their rate limits and the regions that may serve their requests.
//
// A client authenticates with a key, which identifies the account of its requests. A Set
// looks up the account of a key. A Set is immutable and belongs to one version of the
// configuration (package route). Keys are secrets: no method returns a key, and no error
// contains one.
package account

import (
	"errors"
	"slices"

	"github.com/rotisserie/eris"
)

// maxKeyBytes is the maximum length of a key in a request, in bytes. Keys in use are
// shorter. A longer key is not looked up, because hashing it would cost the host more time
// than it costs the client to send it.
const maxKeyBytes = 1024

// Account is a client account.
type Account struct {
	// Name identifies the account in logs, in metrics and in requests to upstreams.
	Name string
	// Priority is the priority of the account's requests under overload. It overrides the
	// priority of the route unless it is nil. 0 is the most urgent.
	Priority *int
	// Rate is the limit in requests per second over all hosts, and Burst the number of
	// requests that may exceed it at once. A Rate of zero means no limit.
	Rate, Burst float64
	// Regions are the regions that may serve the account's requests. Empty means any
	// region.
	Regions []string
}

// Allows reports whether the account's requests may be served in a region.
func (a *Account) Allows(region string) bool {
	return len(a.Regions) == 0 || slices.Contains(a.Regions, region)
}

// Limited reports whether the account has a rate limit.
func (a *Account) Limited() bool { return a.Rate > 0 }

// Entry is an account with the keys that belong to it.
type Entry struct {
	Account Account
	Keys    []string
}

// Set is the set of accounts of one version of the configuration. A nil Set is a
// configuration without accounts, in which requests need no key.
type Set struct {
	byKey  map[string]*Account
	byName map[string]*Account
	// boundFractions is returned by BoundFractions.
	boundFractions map[string]float64
}

// NewSet returns a set of accounts. Empty keys are ignored. The error names every account
// whose name, rate or burst is invalid and all accounts that share a key; it joins one error
// for each of them.
func NewSet(entries []Entry) (*Set, error) {
	s := &Set{byKey: map[string]*Account{}, byName: make(map[string]*Account, len(entries))}
	var faults []error
	for i := range entries {
		faults = append(faults, s.add(&entries[i])...)
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	s.boundFractions = boundFractions(entries)
	return s, nil
}

// boundFractions sums up the rates of the accounts that are restricted to regions, by region,
// as fractions of the total rate. The rate of an account with several regions is divided
// equally among them.
func boundFractions(entries []Entry) map[string]float64 {
	total, bound := 0.0, map[string]float64{}
	for i := range entries {
		a := &entries[i].Account
		total += a.Rate
		for _, region := range a.Regions {
			bound[region] += a.Rate / float64(len(a.Regions))
		}
	}
	if total == 0 {
		return nil
	}
	for region := range bound {
		bound[region] /= total
	}
	return bound
}

// add adds an account and returns its faults. Two accounts that share several keys are one
// fault.
func (s *Set) add(e *Entry) []error {
	a := &e.Account
	faults := a.check()
	s.byName[a.Name] = a
	told := map[*Account]bool{}
	for _, key := range e.Keys {
		if key == "" {
			continue
		}
		other := s.byKey[key]
		if other == nil {
			s.byKey[key] = a
		} else if other != a && !told[other] {
			told[other] = true
			faults = append(faults, eris.Errorf("accounts %q and %q have a key in common", other.Name, a.Name))
		}
	}
	return faults
}

func (a *Account) check() []error {
	var faults []error
	if a.Name == "" {
		faults = append(faults, eris.New("account: name must be set"))
	}
	if !(a.Rate >= 0) { // also catches NaN
		faults = append(faults, eris.Errorf("account %q: rate must not be below 0", a.Name))
	}
	if !(a.Burst >= 0) {
		faults = append(faults, eris.Errorf("account %q: burst must not be below 0", a.Name))
	}
	return faults
}

// ByKey returns the account of a key.
func (s *Set) ByKey(key string) (*Account, bool) {
	if s == nil || key == "" || len(key) > maxKeyBytes {
		return nil, false
	}
	a, ok := s.byKey[key]
	return a, ok
}

// ByName returns the account with a name.
func (s *Set) ByName(name string) (*Account, bool) {
	if s == nil {
		return nil, false
	}
	a, ok := s.byName[name]
	return a, ok
}

// BoundFractions returns, by region, the fraction of all requests that only this region may
// serve, from 0 to 1. It assumes that all accounts use the same fraction of their rates. The
// caller must not modify the map.
func (s *Set) BoundFractions() map[string]float64 {
	if s == nil {
		return nil
	}
	return s.boundFractions
}

// Len returns the number of accounts.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.byName)
}
