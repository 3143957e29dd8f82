package exchange

// Idle returns the number of idle connections.
func (c *Client) Idle() int {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	n := 0
	for _, list := range c.pool.idle {
		n += len(list)
	}
	return n
}
