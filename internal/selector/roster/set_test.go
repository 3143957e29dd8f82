package roster

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSlotSet(t *testing.T) {
	var none SlotSet
	first, last := none.With(0), none.With(63)
	both := first.With(63)
	require.Zero(t, none.Count())
	require.Equal(t, 2, both.Count())
	require.Equal(t, both, both.With(0), "adding a slot again must not change the set")
	require.Equal(t, last, both.And(last))
	require.Equal(t, none, first.And(last))
}
