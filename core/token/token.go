// Package token signs and verifies the session tokens of callers. A token
// contains the address of the home instance of its session, so that any
// instance can find the home instance without a lookup. It cannot be forged
// without the shared secret.
package token

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
)

// Token is the content of a session token.
type Token struct {
	// Address is the peer address of the home instance.
	Address netip.AddrPort
	// Incarnation is the incarnation of the instance that opened the session.
	Incarnation uint64
	// Number identifies the session within the incarnation.
	Number uint64
	// Caller is the name of the caller that owns the session.
	Caller string
}

// ErrInvalid means that a text is not a token that was signed with an accepted
// key. It does not include the reason, which would help only an attacker.
var ErrInvalid = errors.New("session token is not valid")

const (
	version        = 1
	keyInfo        = "marigoldfront session token"
	macBytes       = sha256.Size
	maxCallerBytes = 255
	// headerBytes is the size of the version, the incarnation, the session
	// number, and the lengths of the address and the caller name. The address
	// and the caller name follow the header.
	headerBytes   = 1 + 8 + 8 + 1 + 1
	maxTokenBytes = 1024
)

var encoding = base64.RawURLEncoding.Strict()

// Signer signs with one key and verifies with that key and, during a
// rotation, with the previous one. It is safe for concurrent use.
type Signer struct {
	keys [][]byte
}

// New returns a Signer for the shared secret. The previous secret is accepted
// for verification only; it is empty outside of a rotation.
func New(secret, previous string) (*Signer, error) {
	if secret == "" {
		return nil, errors.New("token: the secret is empty")
	}
	s := &Signer{}
	for _, text := range []string{secret, previous} {
		if text == "" {
			continue
		}
		key, err := hkdf.Key(sha256.New, []byte(text), nil, keyInfo, sha256.Size)
		if err != nil {
			return nil, fmt.Errorf("token: derive key: %w", err)
		}
		s.keys = append(s.keys, key)
	}
	return s, nil
}

// Sign returns a token as URL-safe text. It fails if the address is not valid,
// or if the caller name is empty or longer than 255 bytes.
func (s *Signer) Sign(t Token) (string, error) {
	if !t.Address.IsValid() || t.Address.Addr().Zone() != "" {
		return "", fmt.Errorf("token: address %q is not an IP address and port", t.Address)
	}
	if t.Caller == "" || len(t.Caller) > maxCallerBytes {
		return "", fmt.Errorf("token: caller name has %d bytes, allowed are 1 to %d", len(t.Caller), maxCallerBytes)
	}
	body := marshal(t)
	return encoding.EncodeToString(append(body, mac(s.keys[0], body)...)), nil
}

// Verify checks the signature of a token and returns its content, or
// ErrInvalid.
func (s *Signer) Verify(text string) (Token, error) {
	if len(text) > maxTokenBytes {
		return Token{}, ErrInvalid
	}
	raw, err := encoding.DecodeString(text)
	if err != nil || len(raw) < headerBytes+macBytes {
		return Token{}, ErrInvalid
	}
	body, sum := raw[:len(raw)-macBytes], raw[len(raw)-macBytes:]
	for _, key := range s.keys {
		if hmac.Equal(sum, mac(key, body)) {
			return unmarshal(body)
		}
	}
	return Token{}, ErrInvalid
}

func mac(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(nil)
}

func marshal(t Token) []byte {
	addr, _ := t.Address.MarshalBinary()
	b := make([]byte, 0, headerBytes+len(addr)+len(t.Caller)+macBytes)
	b = append(b, version)
	b = binary.BigEndian.AppendUint64(b, t.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.Number)
	b = append(b, byte(len(addr)), byte(len(t.Caller)))
	b = append(b, addr...)
	return append(b, t.Caller...)
}

func unmarshal(b []byte) (Token, error) {
	if len(b) < headerBytes || b[0] != version {
		return Token{}, ErrInvalid
	}
	t := Token{Incarnation: binary.BigEndian.Uint64(b[1:]), Number: binary.BigEndian.Uint64(b[9:])}
	addrLen, callerLen := int(b[17]), int(b[18])
	rest := b[headerBytes:]
	if callerLen == 0 || len(rest) != addrLen+callerLen {
		return Token{}, ErrInvalid
	}
	if err := t.Address.UnmarshalBinary(rest[:addrLen]); err != nil || !t.Address.IsValid() || t.Address.Addr().Zone() != "" {
		return Token{}, ErrInvalid
	}
	t.Caller = string(rest[addrLen:])
	return t, nil
}
