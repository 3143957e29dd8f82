package account_test

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/gateway/account"
)

func newSet(t testing.TB, entries ...account.Entry) *account.Set {
	t.Helper()
	s, err := account.NewSet(entries)
	require.NoError(t, err)
	return s
}

func entry(name string, keys ...string) account.Entry {
	return account.Entry{Account: account.Account{Name: name}, Keys: keys}
}

func TestAKeyBelongsToOneAccount(t *testing.T) {
	long := strings.Repeat("k", 1025)
	s := newSet(t, entry("rail", "one", "two", "two", "\xff\x00"), entry("yard", "three", ""), entry("none"), entry("odd", long))
	for _, c := range []struct{ key, want string }{
		{"one", "rail"}, {"two", "rail"}, {"\xff\x00", "rail"}, {"three", "yard"},
		{"", ""}, {"ONE", ""}, {"one ", ""}, {"one, one", ""}, {"four", ""}, {long, ""},
	} {
		a, ok := s.ByKey(c.key)
		require.Equal(t, c.want != "", ok, "%q", c.key)
		if ok {
			require.Equal(t, c.want, a.Name)
		}
	}
	require.Equal(t, 4, s.Len())
}

func TestAKeyMovesBetweenAccountsFromOneSetToTheNext(t *testing.T) {
	first, second := newSet(t, entry("rail", "one"), entry("yard")), newSet(t, entry("rail"), entry("yard", "one"))
	a, _ := first.ByKey("one")
	b, _ := second.ByKey("one")
	require.Equal(t, []string{"rail", "yard"}, []string{a.Name, b.Name})
}

func TestAnInvalidAccountIsAnErrorThatNamesItWithoutKeys(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries []account.Entry
		want    []string
	}{
		{"two accounts with one key", []account.Entry{entry("rail", "secret"), entry("yard", "secret")}, []string{`"rail"`, `"yard"`}},
		{"no name", []account.Entry{entry("")}, []string{"name"}},
		{"rate", []account.Entry{{Account: account.Account{Name: "rail", Rate: -1}}}, []string{`"rail"`, "rate"}},
		{"rate that is no number", []account.Entry{{Account: account.Account{Name: "rail", Rate: math.NaN()}}}, []string{`"rail"`, "rate"}},
		{"burst", []account.Entry{{Account: account.Account{Name: "rail", Burst: -1}}}, []string{`"rail"`, "burst"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := account.NewSet(c.entries)
			require.Error(t, err)
			for _, want := range c.want {
				require.ErrorContains(t, err, want)
			}
			require.NotContains(t, err.Error(), "secret")
		})
	}
}

func TestANilSetHasNoKeys(t *testing.T) {
	var s *account.Set
	_, ok := s.ByKey("one")
	require.False(t, ok)
	_, ok = s.ByName("rail")
	require.False(t, ok)
	require.Zero(t, s.Len())
}

func TestAnAccountAllowsItsRegions(t *testing.T) {
	bound, unbound := account.Account{Regions: []string{"west", "east"}}, account.Account{}
	require.True(t, bound.Allows("east"))
	require.False(t, bound.Allows("south"))
	require.True(t, unbound.Allows("south"))
}

func TestFractionsOfRequestsBoundToARegion(t *testing.T) {
	account := func(name string, rate float64, regions ...string) account.Entry {
		return account.Entry{Account: account.Account{Name: name, Rate: rate, Regions: regions}}
	}
	s := newSet(t, account("free", 60), account("bound", 20, "west"), account("both", 20, "west", "east"), account("unlimited", 0, "east"))
	require.InDeltaMapValues(t, map[string]float64{"west": 0.3, "east": 0.1}, s.BoundFractions(), 1e-9)
	require.Empty(t, newSet(t, account("unlimited", 0, "east")).BoundFractions(), "the rate of an unlimited account is unknown")
}

// Every request looks up a key.
func TestLookingUpAKeyAllocatesNothing(t *testing.T) {
	s := newSet(t, entry("rail", "one"))
	require.Zero(t, testing.AllocsPerRun(100, func() { s.ByKey("one") }))
	require.Zero(t, testing.AllocsPerRun(100, func() { s.ByKey("none") }))
}

// BenchmarkByKey shows that the time of a look-up does not grow linearly with the number of
// keys.
func BenchmarkByKey(b *testing.B) {
	for _, keys := range []int{100, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			entries := make([]account.Entry, keys/10)
			for i := range entries {
				entries[i].Account.Name = fmt.Sprint("account-", i)
				for j := range 10 {
					entries[i].Keys = append(entries[i].Keys, fmt.Sprintf("key-%08d-%02d", i, j))
				}
			}
			s := newSet(b, entries...)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := s.ByKey("key-00000007-03"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
