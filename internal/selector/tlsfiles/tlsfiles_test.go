package tlsfiles

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/peer"
	"cairndock/internal/selector/servesettings"
	"cairndock/internal/settings"
)

// authority is a CA that signs certificates for a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(t, err)
	return authority{cert, key}
}

// write signs a certificate for the loopback address and writes all three files.
func (a authority) write(t *testing.T, dir string, serial int64) servesettings.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, key.Public(), a.key)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	s := servesettings.TLS{Certificate: filepath.Join(dir, "crt"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for name, block := range map[string]*pem.Block{
		s.Certificate: {Type: "CERTIFICATE", Bytes: der}, s.Key: {Type: "EC PRIVATE KEY", Bytes: keyDER}, s.CA: {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		require.NoError(t, os.WriteFile(name, pem.EncodeToMemory(block), 0o600))
	}
	return s
}

// countingHandler counts the streams that it serves.
type countingHandler struct{ served *atomic.Int64 }

func (h countingHandler) ServePeer(_ context.Context, _ peer.Hello, _ peer.Kind, _ []byte, w *peer.Responder) {
	h.served.Add(1)
	_ = w.Send(true)
}

func open(t *testing.T, s servesettings.TLS) *Files {
	f, err := Open(s)
	require.NoError(t, err)
	return f
}

// TestOnlyPeersOfTheCAAreServed checks that frames are accepted only from
// peers with a certificate signed by the CA.
func TestOnlyPeersOfTheCAAreServed(t *testing.T) {
	ownCA, otherCA := newAuthority(t), newAuthority(t)
	var served atomic.Int64
	server := peer.NewMesh(peer.Hello{Host: "server"}, Transport{open(t, ownCA.write(t, t.TempDir(), 2))}, countingHandler{&served})
	defer server.Close()
	addr, err := server.Listen("127.0.0.1:0")
	require.NoError(t, err)

	plain, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	_, err = plain.Write([]byte{0, 0, 0, 5, 1, 2, 3, 4, 5})
	require.NoError(t, err)
	_ = plain.Close()

	for name, tc := range map[string]struct {
		files servesettings.TLS
		ok    bool
	}{
		"of the same CA": {ownCA.write(t, t.TempDir(), 3), true},
		"of another CA":  {otherCA.write(t, t.TempDir(), 4), false},
	} {
		before := served.Load()
		client := peer.NewMesh(peer.Hello{Host: "client"}, Transport{open(t, tc.files)}, countingHandler{&served})
		_, err := peer.Call[bool](context.Background(), client, addr, peer.KindRoster, "x")
		client.Close()
		if tc.ok {
			require.NoError(t, err, name)
			require.Equal(t, before+1, served.Load(), name)
			continue
		}
		require.Error(t, err, name)
		require.Equal(t, before, served.Load(), name)
	}
}

func TestChangedFilesAreReloaded(t *testing.T) {
	ca, dir := newAuthority(t), t.TempDir()
	s := ca.write(t, dir, 5)
	f := open(t, s)
	serial := func() int64 {
		f.checkedAt = time.Time{} // makes the next check due
		cert := f.current().Certificates[0]
		leaf, err := x509.ParseCertificate(cert.Certificate[0])
		require.NoError(t, err)
		return leaf.SerialNumber.Int64()
	}
	require.EqualValues(t, 5, serial())
	require.NoError(t, os.WriteFile(s.Key, []byte("half written"), 0o600))
	require.NoError(t, os.Chtimes(s.Key, time.Now(), time.Now().Add(time.Minute)))
	require.EqualValues(t, 5, serial(), "invalid files must leave the old certificate in use")
	ca.write(t, dir, 6)
	require.NoError(t, os.Chtimes(s.Certificate, time.Now(), time.Now().Add(2*time.Minute)))
	require.EqualValues(t, 6, serial())
}

func TestCheck(t *testing.T) {
	ca := newAuthority(t)
	valid := ca.write(t, t.TempDir(), 7)
	for name, tc := range map[string]struct {
		s    servesettings.TLS
		want int
	}{
		"none":        {servesettings.TLS{}, 0},
		"complete":    {valid, 0},
		"incomplete":  {servesettings.TLS{Key: valid.Key}, 2},
		"not a CA":    {servesettings.TLS{Certificate: valid.Certificate, Key: valid.Key, CA: valid.Key}, 1},
		"no such key": {servesettings.TLS{Certificate: valid.Certificate, Key: "none", CA: valid.CA}, 1},
	} {
		var f settings.Faults
		Check("peers.tls", tc.s, &f)
		require.Len(t, f, tc.want, name)
	}
}
