package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Fingerprint identifies a request by its content: two requests with one
// fingerprint are the same request, whatever ids they carry. It is the first half of
// a SHA-256 digest, so that nobody can make a request that is taken for another
// account's.
type Fingerprint [16]byte

// String gives the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ErrNoFingerprint is the error of a text that is none.
var ErrNoFingerprint = eris.New("a fingerprint has 32 hexadecimal digits")

// ParseFingerprint reads what String gives.
func ParseFingerprint(text string) (Fingerprint, error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(Fingerprint{}) {
		return Fingerprint{}, ErrNoFingerprint
	}
	return Fingerprint(b), nil
}

// Content is what a request is compared by.
type Content struct {
	// Credential tells who sent it; empty where it carries none.
	Credential string
	// Method is the HTTP method, Host the value of the Host header, and Target the
	// path and query as the client wrote them.
	Method, Host, Target string
	Body                 []byte
}

// Fingerprint returns the content's fingerprint. Each part is preceded by its length,
// so that no two contents are alike when their parts are joined.
func (c Content) Fingerprint() Fingerprint {
	h := sha256.New()
	part := func(p []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:]) // a hash returns no error
		h.Write(p)
	}
	for _, text := range [...]string{c.Credential, c.Method, c.Host, c.Target} {
		part([]byte(text))
	}
	part(c.Body)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}
