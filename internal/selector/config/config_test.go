package config

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/store"
)

const validDoc = `
[[zone]]
name = "costa-a"
region = "costa"
[[service]]
name = "planning"
[[upstream]]
name = "up-1"
service = "planning"
zone = "costa-a"
addr = "127.0.0.1:1"
slots = 6
labels = { tier = "main" }
[[rule]]
name = "all"
service = "planning"
selector = "tier in (main, spare), region=costa"
share = 0.5
`

func TestDocumentFaults(t *testing.T) {
	cases := []struct{ name, doc, want string }{
		{"unknown key", "[[zone]]\nname = \"a\"\nregion = \"r\"\ncolour = \"red\"", "colour: unknown key"},
		{"wrong type", "[[upstream]]\nslots = \"six\"", "slots"},
		{"no region", "[[zone]]\nname = \"a\"", `zone["a"].region: must be set`},
		{"twice", "[[zone]]\nname = \"a\"\nregion = \"r\"\n[[zone]]\nname = \"a\"\nregion = \"r\"", `zone["a"].name: stands twice`},
		{"bad class", "[[service]]\nname = \"s\"\nclass = \"fast\"", `service["s"].class: must be interactive or bulk, is "fast"`},
		{"bad repeat", "[[service]]\nname = \"s\"\nrepeat = \"often\"", `service["s"].repeat`},
		{"timeout above its bound", "[[service]]\nname = \"s\"\ntimeout = \"1m\"\nmax_timeout = \"1s\"", `service["s"].timeout`},
		{"no duration", "[[service]]\nname = \"s\"\ntimeout = \"soon\"", "timeout"},
		{"too many slots", "[[upstream]]\nname = \"u\"\nservice = \"s\"\nzone = \"z\"\naddr = \"1.2.3.4:1\"\nslots = 65", `upstream["u"].slots: must be from 1 to 64, is 65`},
		{"no port", "[[upstream]]\nname = \"u\"\nservice = \"s\"\nzone = \"z\"\naddr = \"1.2.3.4\"\nslots = 1", `upstream["u"].addr`},
		{"bad selector", "[[rule]]\nname = \"r\"\nservice = \"s\"\nselector = \"a in\"", `rule["r"].selector`},
		{"share above the cap", "[[rule]]\nname = \"r\"\nservice = \"s\"\nshare = 0.5\ncap = 0.4", `rule["r"].share: must be at most the cap 0.4, is 0.5`},
		{"share above a cap of nothing", "[[rule]]\nname = \"r\"\nservice = \"s\"\nshare = 0.5\ncap = 0.0", `rule["r"].share`},
		{"bad block", "[[block]]\ncidr = \"10.0.0.0\"\nzone = \"z\"", `block["10.0.0.0"].cidr`},
		{"link without a limit", "[[link]]\nfrom = \"a\"\nto = \"b\"", `link["a>b"].bytes_per_second`},
		{"unknown kind", "[[remove]]\nkind = \"thing\"\nname = \"x\"", `thing["x"].kind`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseDocument([]byte(tc.doc))
			require.ErrorContains(t, err, tc.want)
		})
	}
	_, err := ParseDocument([]byte("[[zone]]\nname = \"a\"\n[[link]]\nfrom = \"a\"\nto = \"b\""))
	require.Len(t, strings.Split(err.Error(), "\n"), 2, "every fault at once")
}

// stateOf returns the state after documents were applied in order.
func stateOf(t *testing.T, docs ...string) *State {
	s := NewState()
	for i, text := range docs {
		doc, err := ParseDocument([]byte(text))
		require.NoError(t, err)
		c, err := doc.Change(fmt.Sprintf("c%d", i), s.Revision())
		require.NoError(t, err)
		require.Nil(t, s.conflict(c))
		s, err = s.With(c.WithRevision(s.Revision() + 1))
		require.NoError(t, err)
	}
	return s
}

func TestReferences(t *testing.T) {
	before := stateOf(t, validDoc)
	cases := []struct{ name, doc, want string }{
		{"unknown service", "[[rule]]\nname = \"r\"\nservice = \"none\"", `rule["r"].service: unknown service "none"`},
		{"unknown zone", "[[upstream]]\nname = \"u\"\nservice = \"planning\"\nzone = \"none\"\naddr = \"1.2.3.4:1\"\nslots = 1", `upstream["u"].zone: unknown zone "none"`},
		{"address twice", "[[upstream]]\nname = \"u\"\nservice = \"planning\"\nzone = \"costa-a\"\naddr = \"127.0.0.1:1\"\nslots = 1", "is also the address of"},
		{"moved to another zone", "[[zone]]\nname = \"b\"\nregion = \"r\"\n[[upstream]]\nname = \"up-1\"\nservice = \"planning\"\nzone = \"b\"\naddr = \"127.0.0.1:1\"\nslots = 1", `upstream["up-1"].zone: can't move`},
		{"shares above one", "[[rule]]\nname = \"r\"\nservice = \"planning\"\nshare = 0.6", `service["planning"].rules: shares add up to`},
		{"service still in use", "[[remove]]\nkind = \"service\"\nname = \"planning\"", "unknown service"},
		{"block of an unknown zone", "[[block]]\ncidr = \"10.0.0.0/8\"\nzone = \"none\"", `block["10.0.0.0/8"].zone: unknown zone "none"`},
		{"zone still in use", "[[remove]]\nkind = \"zone\"\nname = \"costa-a\"", `upstream["up-1"].zone: unknown zone "costa-a"`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			doc, err := ParseDocument([]byte(tc.doc))
			require.NoError(t, err)
			c, err := doc.Change("next", before.Revision())
			require.NoError(t, err)
			after, err := before.With(c.WithRevision(before.Revision() + 1))
			require.NoError(t, err)
			require.ErrorContains(t, after.checkReferences(before, c.Edits), tc.want)
		})
	}
}

// ruleOf finds a rule by its name.
func ruleOf(svc *ServiceView, name string) (*RuleView, bool) {
	i, ok := slices.BinarySearchFunc(svc.Rules, name, func(r RuleView, n string) int {
		return strings.Compare(r.Name, n)
	})
	if !ok {
		return nil, false
	}
	return &svc.Rules[i], true
}

func TestViewAndCapOfZero(t *testing.T) {
	s := stateOf(t, validDoc, "[[block]]\ncidr = \"10.1.0.0/16\"\nzone = \"costa-a\"",
		"[[rule]]\nname = \"none\"\nservice = \"planning\"\nshare = 0.0\ncap = 0.0")
	v := NewView(s, "costa-a")
	svc, ok := v.Service("planning")
	require.True(t, ok)
	rule, ok := ruleOf(svc, "all")
	require.True(t, ok)
	require.Equal(t, []Site{{Zone: "costa-a", Region: "costa", Slots: 6}}, rule.Sites)
	require.InDelta(t, 1, rule.MaxShare(), 0)
	rule, ok = ruleOf(svc, "none")
	require.True(t, ok)
	require.Zero(t, rule.MaxShare(), "a cap of 0 must differ from an unset cap")
	require.Equal(t, "costa-a", v.ClientZone(netip.MustParseAddr("10.1.2.3")))
	require.Empty(t, v.ClientZone(netip.MustParseAddr("10.2.0.1")))
}

// TestViewIsUpdatedByChanges checks that a view updated with changes equals a
// view built from the resulting state.
func TestViewIsUpdatedByChanges(t *testing.T) {
	steps := []string{
		"[[service]]\nname = \"documents\"",
		"[[upstream]]\nname = \"up-2\"\nservice = \"documents\"\nzone = \"costa-a\"\naddr = \"127.0.0.1:2\"\nslots = 2",
		"[[rule]]\nname = \"docs\"\nservice = \"documents\"\nselector = \"zone=costa-a\"\nshare = 1.0",
		"[[upstream]]\nname = \"up-1\"\nservice = \"planning\"\nzone = \"costa-a\"\naddr = \"127.0.0.1:1\"\nslots = 6\nstate = \"leaving\"",
		"[[rule]]\nname = \"docs\"\nservice = \"planning\"\nselector = \"\"",
		"[[zone]]\nname = \"costa-a\"\nregion = \"other\"",
		"[[remove]]\nkind = \"upstream\"\nname = \"up-2\"",
		"[[remove]]\nkind = \"service\"\nname = \"documents\"",
	}
	s := stateOf(t, validDoc)
	v := NewView(s, "costa-a")
	for _, text := range steps {
		doc, err := ParseDocument([]byte(text))
		require.NoError(t, err)
		c, err := doc.Change("c", s.Revision())
		require.NoError(t, err)
		c = c.WithRevision(s.Revision() + 1)
		s, err = s.With(c)
		require.NoError(t, err)
		v = v.With(s, []Change{c})
		require.Equal(t, NewView(s, "costa-a").services, v.services, text)
	}
}

func TestSnapshotIsTheState(t *testing.T) {
	s := stateOf(t, validDoc, "[[block]]\ncidr = \"10.1.0.0/16\"\nzone = \"costa-a\"\n[[link]]\nfrom = \"a\"\nto = \"b\"\nbytes_per_second = 5", "[[remove]]\nkind = \"rule\"\nname = \"all\"")
	var snap bytes.Buffer
	require.NoError(t, s.WriteSnapshot(&snap))
	whole := snap.Bytes()
	for _, n := range []int{0, 10, len(whole) / 2, len(whole) - 1} {
		_, err := ReadSnapshot(bytes.NewReader(whole[:n]))
		require.Error(t, err, "snapshot truncated to %d bytes", n)
	}
	again, err := ReadSnapshot(bytes.NewReader(whole))
	require.NoError(t, err)
	require.Equal(t, s.Revision(), again.Revision())
	require.Equal(t, s.Digest(), again.Digest())
	require.Equal(t, s.Document(), again.Document())
}

func TestDocumentRoundTrip(t *testing.T) {
	s := stateOf(t, validDoc)
	doc := s.Document()
	c, err := doc.Change("again", 0)
	require.NoError(t, err)
	require.Nil(t, s.conflict(c), "a document must be accepted with the versions it contains")
	s = stateOf(t, validDoc, "[[zone]]\nname = \"costa-a\"\nregion = \"moved\"")
	conflict := s.conflict(c)
	require.NotNil(t, conflict)
	require.Equal(t, "zone/costa-a", conflict.Ref.String())
}

// TestAppendUnderFaults checks that a change is in the log at most once,
// whichever store call fails, and exactly once after it is appended again with
// the same id.
func TestAppendUnderFaults(t *testing.T) {
	errDown := errors.New("down")
	cases := []struct {
		name  string
		fault func(op string, after bool) error
		// settled means that the first append already reports the outcome.
		settled bool
	}{
		{"nothing", nil, true},
		{"write refused", func(op string, after bool) error {
			if op == "transact" && !after {
				return errDown
			}
			return nil
		}, false},
		{"write's response lost", func(op string, after bool) error {
			if op == "transact" && after {
				return errDown
			}
			return nil
		}, true},
		{"everything down", func(string, bool) error { return errDown }, false},
		{"large change's object refused", func(op string, after bool) error {
			if op == "put-object" && !after {
				return errDown
			}
			return nil
		}, false},
	}
	for _, tc := range cases {
		for _, large := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/large=%v", tc.name, large), func(t *testing.T) {
				ctx := context.Background()
				m := store.NewMemory()
				log := NewLog(m, m)
				m.SetFault(tc.fault)
				c := changeOf(t, large)
				_, rev, err := log.Append(ctx, NewState(), c)
				if tc.settled {
					require.NoError(t, err)
					require.EqualValues(t, 1, rev)
				}
				m.SetFault(nil)
				s, rev, err := log.Append(ctx, NewState(), c)
				require.NoError(t, err)
				require.EqualValues(t, 1, rev)
				s, err = log.CatchUp(ctx, s)
				require.NoError(t, err)
				require.EqualValues(t, 1, s.Revision())
				head, err := log.Head(ctx)
				require.NoError(t, err)
				require.EqualValues(t, 1, head)
				require.NoError(t, log.SaveSnapshot(ctx, s))
				loaded, err := log.Load(ctx)
				require.NoError(t, err)
				require.Equal(t, s.Digest(), loaded.Digest())
			})
		}
	}
}

func changeOf(t *testing.T, large bool) Change {
	var doc Document
	zones := 1
	if large {
		zones = 10_000
	}
	for i := range zones {
		doc.Zones = append(doc.Zones, Zone{Name: fmt.Sprintf("zone-%d", i), Region: "region"})
	}
	c, err := doc.Change("id", 0)
	require.NoError(t, err)
	return c
}

func FuzzSelector(f *testing.F) {
	for _, seed := range []string{"", "a=b", "a in (b,c),!d", "a notin", "zone==x", "((("} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, selector string) {
		doc := Document{Rules: []Rule{{Name: "r", Service: "s", Selector: selector}}}
		_ = doc.check() // must not panic
		v := newRuleView(NewState(), doc.Rules[0], &ServiceView{}, nil)
		require.Empty(t, v.Sites)
	})
}
