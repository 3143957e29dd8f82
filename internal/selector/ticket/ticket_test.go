package ticket

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	digestA = DigestOf("planning", "POST", "/bookings", []byte("a"))
	digestB = DigestOf("planning", "POST", "/bookings", []byte("b"))
	start   = time.Unix(1_800_000_000, 0)
)

func newTicket(t *testing.T, s *Store) Ticket {
	issued, err := s.Issue(start)
	require.NoError(t, err)
	parsed, err := Parse(issued.String())
	require.NoError(t, err)
	require.Equal(t, issued, parsed)
	return parsed
}

func TestBegin(t *testing.T) {
	cases := []struct {
		name     string
		prepare  func(s *Store, t *Ticket)
		digest   Digest
		after    time.Duration
		dispatch bool
		phase    Phase
		err      error
	}{
		{name: "first use", digest: digestA, dispatch: true, phase: Running},
		{name: "resend while it runs", prepare: use, digest: digestA, phase: Running},
		{name: "resend after the response", prepare: func(s *Store, t *Ticket) { use(s, t); s.Finish(*t, Outcome{Status: 200}) }, digest: digestA, phase: Completed},
		{name: "resend when the outcome is in doubt", prepare: func(s *Store, t *Ticket) { use(s, t); s.Abandon(*t, false) }, digest: digestA, phase: InDoubt},
		{name: "resend after the request did not run", prepare: func(s *Store, t *Ticket) { use(s, t); s.Abandon(*t, true) }, digest: digestA, dispatch: true, phase: Running},
		{name: "another request", prepare: use, digest: digestB, err: ErrOtherRequest},
		{name: "another request after the response", prepare: func(s *Store, t *Ticket) { use(s, t); s.Finish(*t, Outcome{Status: 200}) }, digest: digestB, err: ErrOtherRequest},
		{name: "expired unused", digest: digestA, after: Lifetime, err: ErrExpired},
		{name: "expired and swept", prepare: func(s *Store, t *Ticket) { use(s, t); s.Finish(*t, Outcome{Status: 200}) }, digest: digestA, after: 2 * Lifetime, err: ErrExpired},
		{name: "forged sequence", prepare: func(_ *Store, t *Ticket) { t.Sequence++ }, digest: digestA, err: ErrForged},
		{name: "forged expiry", prepare: func(_ *Store, t *Ticket) { t.Expiry++ }, digest: digestA, err: ErrForged},
		{name: "another incarnation", prepare: func(_ *Store, t *Ticket) { t.Incarnation = "2" }, digest: digestA, err: ErrForged},
		{name: "unused at a sealed store", prepare: func(s *Store, _ *Ticket) { s.Seal() }, digest: digestA, err: ErrSealed},
		{name: "completed at a sealed store", prepare: func(s *Store, t *Ticket) { use(s, t); s.Finish(*t, Outcome{Status: 200}); s.Seal() }, digest: digestA, phase: Completed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := NewStore("h", "z", "1", NewKey())
			issued := newTicket(t, s)
			if tc.prepare != nil {
				tc.prepare(s, &issued)
			}
			rec, dispatch, err := s.Begin(issued, tc.digest, start.Add(tc.after))
			require.ErrorIs(t, err, tc.err)
			require.Equal(t, tc.dispatch, dispatch)
			require.Equal(t, tc.phase, rec.Phase)
		})
	}
}

func use(s *Store, t *Ticket) { _, _, _ = s.Begin(*t, digestA, start) }

func TestHandover(t *testing.T) {
	old := NewStore("h", "z", "1", NewKey())
	completed, running, unused := newTicket(t, old), newTicket(t, old), newTicket(t, old)
	use(old, &completed)
	old.Finish(completed, Outcome{Status: 201, Body: []byte("kept")})
	use(old, &running)

	first, second := FromHandover(old.Handover(true)), FromHandover(old.Handover(false))
	for name, s := range map[string]*Store{"first": first, "second": second} {
		rec, dispatch, err := s.Begin(completed, digestA, start)
		require.NoError(t, err, name)
		require.False(t, dispatch, name)
		require.Equal(t, "kept", string(rec.Outcome.Body), name)
		rec, dispatch, err = s.Begin(running, digestA, start)
		require.NoError(t, err, name)
		require.False(t, dispatch, name)
		require.Equal(t, InDoubt, rec.Phase, name)
	}
	_, dispatch, err := first.Begin(unused, digestA, start)
	require.NoError(t, err)
	require.True(t, dispatch, "the first successor must dispatch")
	_, dispatch, err = second.Begin(unused, digestA, start)
	require.ErrorIs(t, err, ErrSealed)
	require.False(t, dispatch, "two successors must not both dispatch")
	_, dispatch, err = old.Begin(unused, digestA, start)
	require.ErrorIs(t, err, ErrSealed)
	require.False(t, dispatch)
	_, err = old.Issue(start)
	require.ErrorIs(t, err, ErrSealed)
}

func TestLargeBodiesAreNotKept(t *testing.T) {
	s := NewStore("h", "z", "1", NewKey())
	issued := newTicket(t, s)
	use(s, &issued)
	s.Finish(issued, Outcome{Status: 200, Body: make([]byte, maxBodyBytes+1)})
	rec, _, err := s.Begin(issued, digestA, start)
	require.NoError(t, err)
	require.True(t, rec.Outcome.Partial)
	require.Empty(t, rec.Outcome.Body)
}

func TestExpiredRecordsAreSwept(t *testing.T) {
	s := NewStore("h", "z", "1", NewKey())
	issued := newTicket(t, s)
	use(s, &issued)
	s.Finish(issued, Outcome{Status: 200})
	later := newTicket(t, s)
	_, _, _ = s.Begin(later, digestA, start.Add(3*Lifetime))
	require.Zero(t, s.Len())
}

func FuzzParse(f *testing.F) {
	good, _ := NewStore("h", "z", "1", NewKey()).Issue(start)
	for _, seed := range []string{"", "none", good.String(), strings.Repeat("A", maxTextBytes+1)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := Parse(text)
		if err == nil && len(parsed.MAC) != macSize {
			t.Fatal("a ticket was parsed whose MAC has the wrong length")
		}
	})
}
