package fleet

import (
	"sync"
	"time"

	"cairndock/internal/gateway/watch"
	"cairndock/internal/peer"
)

// relaySharing is how long an encoded response is sent to further peers. The peers that poll a
// host ask for the same changes, and all get them when the host does. Responses contain a
// larger age by this time, so that no peer takes its rows for newer than they are.
const relaySharing = 20 * time.Millisecond

// relayCache has the last response with changes of a table, encoded.
type relayCache struct {
	mu      sync.Mutex
	key     relayKey
	payload []byte
	at      time.Time
	// encoded counts the responses that were encoded.
	encoded int
}

// relayKey identifies the changes of a response.
type relayKey struct {
	after, upTo watch.Version
}

// encode returns the encoded response to a poll for changes.
func (c *relayCache) encode(request relayRequest, response relayResponse, now time.Time) ([]byte, error) {
	key := relayKey{watch.Version{Era: request.AfterEra, Number: request.After}, response.Page.Version}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.payload != nil && c.key == key && now.Sub(c.at) < relaySharing {
		return c.payload, nil
	}
	response.Page.Age += relaySharing
	payload, err := peer.Encode(response)
	if err != nil {
		return nil, err
	}
	c.key, c.payload, c.at = key, payload, now
	c.encoded++
	return payload, nil
}
