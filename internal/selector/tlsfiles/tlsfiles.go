// Package tlsfiles loads mutual TLS configurations from the files in the
// settings, and reloads them when the files change. It is used by the listeners
// for peers and operators, and by the commands that connect to the listener for
// operators.
package tlsfiles

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/selector/servesettings"
	"cairndock/internal/settings"
)

// recheckInterval is the minimum interval between two checks of the files for
// changes.
const recheckInterval = time.Second

// Check adds the faults of a TLS section to f. key is the key of the section.
func Check(key string, s servesettings.TLS, f *settings.Faults) {
	if !s.Enabled() {
		return
	}
	f.Require(s.Certificate != "", key+".certificate", "must be set with the others")
	f.Require(s.Key != "", key+".key", "must be set with the others")
	f.Require(s.CA != "", key+".ca", "must be set with the others")
	if s.Certificate == "" || s.Key == "" || s.CA == "" {
		return
	}
	if _, err := read(s); err != nil {
		f.Require(false, key, err.Error())
	}
}

// read reads the files and returns a configuration for clients and servers.
func read(s servesettings.TLS) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, eris.Wrap(err, "read certificate and key")
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, eris.Wrap(err, "read CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.New("CA file holds no certificate")
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
	}, nil
}

// Files provides the TLS configurations from the files of one section of the
// settings. It is safe for concurrent use.
type Files struct {
	settings servesettings.TLS

	mu        sync.Mutex
	config    *tls.Config // replaced, never modified
	modified  [3]time.Time
	checkedAt time.Time
}

// Open reads the files. It returns an error if any of them can't be read.
func Open(s servesettings.TLS) (*Files, error) {
	f := &Files{settings: s}
	var err error
	f.config, err = read(s)
	f.modified = f.readModified()
	f.checkedAt = time.Now()
	return f, err
}

func (f *Files) readModified() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{f.settings.Certificate, f.settings.Key, f.settings.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// current returns the configuration from the newest valid files. While the files
// are only partly written, the old configuration stays in use.
func (f *Files) current() *tls.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.checkedAt) < recheckInterval {
		return f.config.Clone()
	}
	f.checkedAt = time.Now()
	if modified := f.readModified(); modified != f.modified {
		if config, err := read(f.settings); err == nil {
			f.config, f.modified = config, modified
		}
	}
	return f.config.Clone()
}

// Server returns the configuration for a listener that accepts only clients with
// a certificate signed by the CA.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return f.current(), nil },
	}
}

// Client returns the configuration for connections to a server with a
// certificate for serverName that is signed by the CA.
func (f *Files) Client(serverName string) *tls.Config {
	config := f.current()
	config.ServerName = serverName
	return config
}

// Transport is a transport for peer connections over mutual TLS.
type Transport struct{ Files *Files }

// Dial connects to addr, "host:port", and completes the handshake, in which both
// ends authenticate with their certificates.
func (t Transport) Dial(ctx context.Context, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, eris.Wrap(err, "split peer address")
	}
	d := tls.Dialer{Config: t.Files.Client(host)}
	c, err := d.DialContext(ctx, "tcp", addr)
	return c, eris.Wrap(err, "dial peer")
}

// Listen listens for connections over mutual TLS.
func (t Transport) Listen(addr string) (net.Listener, error) {
	l, err := tls.Listen("tcp", addr, t.Files.Server())
	return l, eris.Wrap(err, "listen")
}
