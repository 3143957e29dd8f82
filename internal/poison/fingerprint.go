package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Fingerprint identifies a request by its content: two requests with the same fingerprint
// are the same request, whatever request ids they carry. It is the first half of a SHA-256
// digest, so that nobody can forge a request with the fingerprint of another account's
// request.
type Fingerprint [16]byte

// String returns the fingerprint as 32 hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ErrInvalidFingerprint is returned by ParseFingerprint if the text is not a fingerprint.
var ErrInvalidFingerprint = eris.New("a fingerprint has 32 hexadecimal digits")

// ParseFingerprint parses the output of String. It returns ErrInvalidFingerprint for any
// other text.
func ParseFingerprint(text string) (Fingerprint, error) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(Fingerprint{}) {
		return Fingerprint{}, ErrInvalidFingerprint
	}
	return Fingerprint(b), nil
}

// Content is the part of a request that its fingerprint covers.
type Content struct {
	// Credential identifies the client account; empty if the request carries none.
	Credential string
	// Method is the HTTP method, Host the value of the Host header, and Target the
	// path and query as the client sent them.
	Method, Host, Target string
	// Body is the body in segments, whose boundaries do not matter.
	Body [][]byte
}

// Fingerprint returns the content's fingerprint. Each field is hashed with its length before
// it, so that bytes moved from one field to the next result in another fingerprint.
func (c Content) Fingerprint() Fingerprint {
	h := sha256.New()
	writeField := func(segments ...[]byte) {
		size := 0
		for _, s := range segments {
			size += len(s)
		}
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(size))
		h.Write(length[:]) // a hash returns no error
		for _, s := range segments {
			h.Write(s)
		}
	}
	for _, text := range [...]string{c.Credential, c.Method, c.Host, c.Target} {
		writeField([]byte(text))
	}
	writeField(c.Body...)
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}
