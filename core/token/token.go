// Package token signs and verifies the session tokens of callers. A token
// names the home of its session, so that any instance can find the home
// without a lookup, and it cannot be forged without the shared secret.
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
	// Address is the peer address of the home.
	Address netip.AddrPort
	// Incarnation is that of the instance that opened the session.
	Incarnation uint64
	// Number is the session's number within the incarnation.
	Number uint64
	// Caller is the name of the caller that owns the session.
	Caller string
}

// ErrInvalid says that a text is not a token signed with an accepted key. It
// does not say why, because the reason would help only a forger.
var ErrInvalid = errors.New("session token is not valid")

const (
	version   = 1
	keyInfo   = "marigoldfront session token"
	macBytes  = sha256.Size
	maxCaller = 255
	// The caller name follows the version, both numbers and both lengths.
	headBytes = 1 + 8 + 8 + 1 + 1
	maxText   = 1024
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

// Sign returns the URL-safe text of a token. It fails where the address is
// not valid or the caller name is empty or longer than 255 bytes.
func (s *Signer) Sign(t Token) (string, error) {
	if !t.Address.IsValid() || t.Address.Addr().Zone() != "" {
		return "", fmt.Errorf("token: address %q is not an IP address and port", t.Address)
	}
	if t.Caller == "" || len(t.Caller) > maxCaller {
		return "", fmt.Errorf("token: caller name has %d bytes, allowed are 1 to %d", len(t.Caller), maxCaller)
	}
	body := marshal(t)
	return encoding.EncodeToString(append(body, mac(s.keys[0], body)...)), nil
}

// Verify returns the content of a token, or ErrInvalid.
func (s *Signer) Verify(text string) (Token, error) {
	if len(text) > maxText {
		return Token{}, ErrInvalid
	}
	raw, err := encoding.DecodeString(text)
	if err != nil || len(raw) < headBytes+macBytes {
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
	b := make([]byte, 0, headBytes+len(addr)+len(t.Caller)+macBytes)
	b = append(b, version)
	b = binary.BigEndian.AppendUint64(b, t.Incarnation)
	b = binary.BigEndian.AppendUint64(b, t.Number)
	b = append(b, byte(len(addr)), byte(len(t.Caller)))
	b = append(b, addr...)
	return append(b, t.Caller...)
}

func unmarshal(b []byte) (Token, error) {
	if len(b) < headBytes || b[0] != version {
		return Token{}, ErrInvalid
	}
	t := Token{Incarnation: binary.BigEndian.Uint64(b[1:]), Number: binary.BigEndian.Uint64(b[9:])}
	addrLen, callerLen := int(b[17]), int(b[18])
	rest := b[headBytes:]
	if callerLen == 0 || len(rest) != addrLen+callerLen {
		return Token{}, ErrInvalid
	}
	if err := t.Address.UnmarshalBinary(rest[:addrLen]); err != nil || !t.Address.IsValid() || t.Address.Addr().Zone() != "" {
		return Token{}, ErrInvalid
	}
	t.Caller = string(rest[addrLen:])
	return t, nil
}
