// Package account holds the client accounts of the operator configuration: whose
// requests are served, under which limit and where.
//
// A client proves by a key which account its requests belong to. A Set finds the
// account of a key; it is immutable, and a part of one version of the configuration
// (package route). Keys are secrets: no method returns one, and no error names one.
package account

import (
	"slices"

	"github.com/rotisserie/eris"
)

// maxKeyBytes is the longest key that a request may carry, in bytes. No key that people
// or programs make is as long; a longer one is not looked up, as its hash would cost
// every host time that the sender need not spend.
const maxKeyBytes = 1024

// Account is a client account.
type Account struct {
	// Name identifies the account in logs, metrics and towards upstreams.
	Name string
	// Priority orders requests under overload in place of their route's; nil leaves
	// the route's. 0 is the most urgent.
	Priority *int
	// Rate is the requests a second that the account may send over all hosts, and Burst
	// how many more at once. A zero Rate is no limit.
	Rate, Burst float64
	// Regions are those in which the account's requests may be served; empty is any.
	Regions []string
}

// Allows reports whether the account's requests may be served in a region.
func (a *Account) Allows(region string) bool {
	return len(a.Regions) == 0 || slices.Contains(a.Regions, region)
}

// Limited reports whether the account has a limit.
func (a *Account) Limited() bool { return a.Rate > 0 }

// Entry is an account with the keys that belong to it.
type Entry struct {
	Account Account
	Keys    []string
}

// Set is the accounts of one version of the configuration. A nil Set is a configuration
// without accounts, where no request needs a key.
type Set struct {
	byKey  map[string]*Account
	byName map[string]*Account
	// bound has the parts of BoundParts.
	bound map[string]float64
}

// NewSet makes a set. An empty key belongs to nobody. The error names the accounts that
// share a key, or the one whose figures no account can have.
func NewSet(entries []Entry) (*Set, error) {
	s := &Set{byKey: map[string]*Account{}, byName: make(map[string]*Account, len(entries))}
	for i := range entries {
		if err := s.add(&entries[i]); err != nil {
			return nil, err
		}
	}
	s.bound = boundParts(entries)
	return s, nil
}

// boundParts sums up the rates of accounts that have homes, by region, as parts of the
// rates of all. An account of several regions counts in each with an equal part.
func boundParts(entries []Entry) map[string]float64 {
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
		return eris.New("account: its name must be set")
	case !(a.Rate >= 0): // also not a number
		return eris.Errorf("account %q: rate must not be below 0", a.Name)
	case !(a.Burst >= 0):
		return eris.Errorf("account %q: burst must not be below 0", a.Name)
	}
	return nil
}

// ByKey returns the account that a key belongs to.
func (s *Set) ByKey(key string) (*Account, bool) {
	if s == nil || key == "" || len(key) > maxKeyBytes {
		return nil, false
	}
	a, ok := s.byKey[key]
	return a, ok
}

// ByName returns the account of a name.
func (s *Set) ByName(name string) (*Account, bool) {
	if s == nil {
		return nil, false
	}
	a, ok := s.byName[name]
	return a, ok
}

// BoundParts gives, by region, which part of all requests may be served there only, from
// 0 to 1, where the accounts use their rates alike. The map is not to be changed.
func (s *Set) BoundParts() map[string]float64 {
	if s == nil {
		return nil
	}
	return s.bound
}

// Len is the number of accounts.
func (s *Set) Len() int {
	if s == nil {
		return 0
	}
	return len(s.byName)
}
