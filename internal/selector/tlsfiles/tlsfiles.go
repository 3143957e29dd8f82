// Package tlsfiles makes mutual TLS settings from files, read again when
// they change.
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

// lookAgain is the least time between two looks at the files.
const lookAgain = time.Second

// Check notes the faults of a TLS section.
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
	if _, _, err := read(s); err != nil {
		f.Require(false, key, err.Error())
	}
}

func read(s servesettings.TLS) (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read certificate and key")
	}
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, eris.New("CA file holds no certificate")
	}
	return &cert, pool, nil
}

// Files is a set of TLS files.
type Files struct {
	settings servesettings.TLS

	mu      sync.Mutex
	cert    *tls.Certificate
	pool    *x509.CertPool
	stamp   [3]time.Time
	checked time.Time
}

// Open reads the files.
func Open(s servesettings.TLS) (*Files, error) {
	f := &Files{settings: s}
	var err error
	f.cert, f.pool, err = read(s)
	f.stamp = f.stamps()
	f.checked = time.Now()
	return f, err
}

func (f *Files) stamps() [3]time.Time {
	var out [3]time.Time
	for i, name := range []string{f.settings.Certificate, f.settings.Key, f.settings.CA} {
		if info, err := os.Stat(name); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}

// current gives the newest files that can be read: half-written ones leave
// the old in use.
func (f *Files) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.checked) < lookAgain {
		return f.cert, f.pool
	}
	f.checked = time.Now()
	stamp := f.stamps()
	if stamp == f.stamp {
		return f.cert, f.pool
	}
	if cert, pool, err := read(f.settings); err == nil {
		f.cert, f.pool, f.stamp = cert, pool, stamp
	}
	return f.cert, f.pool
}

// Server gives settings for a listener that takes only clients which the CA
// has signed.
func (f *Files) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := f.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert},
				ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
			}, nil
		},
	}
}

// Client gives settings for connections to servers that the CA has signed.
func (f *Files) Client(serverName string) *tls.Config {
	cert, pool := f.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, RootCAs: pool, ServerName: serverName,
	}
}

// Transport carries peer connections over mutual TLS.
type Transport struct{ Files *Files }

// Dial makes a connection and proves both ends before it gives it.
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
