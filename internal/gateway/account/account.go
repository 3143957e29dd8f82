// Package account holds the client accounts of the operator configuration: their keys,
// their rate limits and the regions that may serve their requests.
//
// A client authenticates with a key, which identifies the account of its requests. A Set
// looks up the account of a key. A Set is immutable and belongs to one version of the
// configuration (package route). Keys are secrets: no method returns a key, and no error
// contains one.
package account

import (
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

// NewSet returns a set of accounts. Empty keys are ignored. NewSet returns an error with the
// names of the accounts if two accounts share a key, or if a name, rate or burst is invalid.
func NewSet(entries []Entry) (*Set, error) {
	s := &Set{byKey: map[string]*Account{}, byName: make(map[string]*Account, len(entries))}
	for i := range entries {
		if err := s.add(&entries[i]); err != nil {
			return nil, err
		}
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

func (s *Set) add(e *Entry) error {
	a := &e.Account
	if err := a.check(); err != nil {
		return err
	}
	s.byName[a.Name] = a
	for _, key := range e.Keys {
		if key == "" {
			continue
		}
		if other := s.byKey[key]; other != nil && other != a {
			return eris.Errorf("accounts %q and %q have a key in common", other.Name, a.Name)
		}
		s.byKey[key] = a
	}
	return nil
}

func (a *Account) check() error {
	switch {
	case a.Name == "":
		return eris.New("account: name must be set")
	case !(a.Rate >= 0): // also catches NaN
		return eris.Errorf("account %q: rate must not be below 0", a.Name)
	case !(a.Burst >= 0):
		return eris.Errorf("account %q: burst must not be below 0", a.Name)
	}
	return nil
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
