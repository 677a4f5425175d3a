package token

import (
	"net/netip"
	"testing"
)

var sample = Token{
	Address:     netip.MustParseAddrPort("127.0.0.1:7101"),
	Incarnation: 0xfeedfacecafebeef,
	Number:      42,
	Caller:      "dealer-portal",
}

func newSigner(t testing.TB, secret, previous string) *Signer {
	t.Helper()
	s, err := New(secret, previous)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func sign(t testing.TB, s *Signer, tok Token) string {
	t.Helper()
	text, err := s.Sign(tok)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Guards against a rotation of the secret that invalidates open sessions, and
// against accepting tokens whose key is no longer configured.
func TestRotation(t *testing.T) {
	text := sign(t, newSigner(t, "old", ""), sample)
	if got, err := newSigner(t, "new", "old").Verify(text); err != nil || got != sample {
		t.Fatalf("Verify with the previous key = %+v, %v", got, err)
	}
	if _, err := newSigner(t, "new", "newer").Verify(text); err != ErrInvalid {
		t.Fatalf("Verify without the key: err = %v, want ErrInvalid", err)
	}
}

// Guards against a token that remains valid after it was modified, which would
// let a caller use the session of another caller.
func TestTamperedToken(t *testing.T) {
	s := newSigner(t, "secret", "")
	text := sign(t, s, sample)
	for i := range text {
		for _, c := range "Ab0_" {
			changed := text[:i] + string(c) + text[i+1:]
			if _, err := s.Verify(changed); changed != text && err == nil {
				t.Fatalf("token with byte %d changed to %q is accepted", i, c)
			}
		}
	}
}

// Guards against panics on untrusted input, and against two different texts
// that are valid for one token: tokens could then not be compared as text.
func FuzzVerify(f *testing.F) {
	s := newSigner(f, "secret", "older")
	f.Add(sign(f, s, sample))
	ipv6 := sample
	ipv6.Address = netip.MustParseAddrPort("[::1]:443")
	f.Add(sign(f, s, ipv6))
	f.Add("")
	f.Add("AQ")
	f.Add(sign(f, newSigner(f, "other", ""), sample))
	f.Fuzz(func(t *testing.T, text string) {
		tok, err := s.Verify(text)
		if err != nil {
			return
		}
		if again := sign(t, s, tok); again != text {
			t.Fatalf("Verify accepts %q, whose token is signed as %q", text, again)
		}
	})
}

// Guards against panics on token bodies from a peer that has the right key but
// uses another version of the format.
func FuzzUnmarshal(f *testing.F) {
	f.Add(marshal(sample))
	f.Add([]byte{version})
	f.Fuzz(func(t *testing.T, body []byte) {
		tok, err := unmarshal(body)
		if err == nil && string(marshal(tok)) != string(body) {
			t.Fatalf("body %x is decoded as %+v, which is encoded as %x", body, tok, marshal(tok))
		}
	})
}
