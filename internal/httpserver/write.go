package httpserver

import "time"

// writeTimeout limits a write whose server sets no deadline. A client that does not read would
// otherwise occupy its connection without end.
const writeTimeout = 30 * time.Second

// Write writes to the client.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBegan = time.Time{}
	return n, err
}

// beginWrite records a write and sets its deadline.
func (c *conn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBegan = time.Now()
	if !c.writeDeadline.IsZero() {
		return nil
	}
	return c.Conn.SetWriteDeadline(c.writeBegan.Add(writeTimeout))
}

// SetWriteDeadline sets the write deadline of the http.Server; zero selects writeTimeout for
// each write.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}
