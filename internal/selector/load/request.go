package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cairndock/internal/selector/call"
	"cairndock/internal/verdict"
)

// maxKeptBody is how much of a response is kept to compare it, in bytes: the
// stand-ins' echoes are far shorter.
const maxKeptBody = 4 << 10

// ticket takes a ticket from a host. On any error it is "", and the request is
// sent without one: what it gets is counted, and its ticket is not checked.
func (r *run) ticket(ctx context.Context, host, service string) string {
	var out struct {
		Ticket string `json:"ticket"`
	}
	// After an error there is no ticket.
	_ = r.request(ctx, http.MethodPost, "http://"+host+"/v1/tickets?service="+service, &out)
	return out.Ticket
}

// reply is what one request got.
type reply struct {
	// verdict is a host's verdict, answered or broken.
	verdict string
	// zone is the zone of the upstream, if known.
	zone string
	// bytes is the length of the body.
	bytes int64
	// body is the beginning of the body, at most maxKeptBody.
	body []byte
}

// send sends request i of a class through a host.
func (r *run) send(ctx context.Context, host string, c Class, i int, ticket string) reply {
	path := c.Path
	if strings.Contains(path, "%d") {
		path = fmt.Sprintf(path, i)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+host+"/s/"+c.Service+path, bytes.NewReader([]byte(c.Body)))
	if err != nil {
		return reply{verdict: broken}
	}
	if ticket != "" {
		req.Header.Set(call.HeaderTicket, ticket)
	}
	if c.Timeout > 0 {
		req.Header.Set(call.HeaderTimeout, c.Timeout.String())
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return reply{verdict: broken}
	}
	defer resp.Body.Close()
	out := readReply(resp)
	if c.Echo && out.verdict == answered && !bytes.Contains(out.body, []byte(strconv.Quote(path))) {
		r.wrong.Add(1)
	}
	return out
}

// readReply reads the whole response, and keeps the beginning of its body.
func readReply(resp *http.Response) reply {
	out := reply{verdict: answered}
	out.zone, _, _ = strings.Cut(resp.Header.Get(call.HeaderUpstream), "/")
	if v := resp.Header.Get(verdict.Header); v != "" {
		out.verdict = v
	}
	var err error
	if out.body, err = io.ReadAll(io.LimitReader(resp.Body, maxKeptBody)); err == nil {
		out.bytes, err = io.Copy(io.Discard, resp.Body)
	}
	out.bytes += int64(len(out.body))
	if err != nil {
		out.verdict = broken
	}
	return out
}
