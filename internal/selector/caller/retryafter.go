package caller

import (
	"math"
	"strconv"
	"time"

	"cairndock/internal/verdict"
)

// notReadyRetryAfter is when a client should return to a host that has no
// configuration yet. Chosen, not measured: the shortest time that whole seconds
// can say, and what the entry package sets for every other refusal.
const notReadyRetryAfter = time.Second

// notReady is the error of a host that never had the newest configuration.
func notReady() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.NotReady, "host is not ready").WithRetryAfter(notReadyRetryAfter)
}

// retryAfter is the value of Retry-After for a pause above 0: whole seconds, as
// RFC 9110 section 10.2.3 requires, rounded up, since a client that returns
// early would only be refused again.
//
// internal/gateway/proxy differs: its clients read fractions, so that it sets
// 150 to 750 ms by the cause, and spreads those refused for load at random.
func retryAfter(pause time.Duration) string {
	return strconv.Itoa(int(math.Ceil(pause.Seconds())))
}
