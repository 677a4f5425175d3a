package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"marigoldfront.dev/entry/home"
	"marigoldfront.dev/wire"
)

const bearer = "Bearer "

// authenticate returns a rejection if the bearer token of a request is not the
// token of the caller, and nil otherwise. The comparison takes constant time and
// an unknown caller gets the same reply as a wrong token, so that a client cannot
// find out which callers exist.
func (g *Gateway) authenticate(r *http.Request, caller string) *wire.ForwardReply {
	dir := g.cfg.Directory()
	if dir == nil {
		return home.Reject(http.StatusServiceUnavailable, "instance", "the instance has no configuration yet")
	}
	presented, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	sum := sha256.Sum256([]byte(presented))
	var want [sha256.Size]byte
	c, known := dir.State.Callers[caller]
	if n, err := hex.Decode(want[:], []byte(c.TokenSHA256)); err != nil || n != sha256.Size {
		known = false
	}
	same := subtle.ConstantTimeCompare(sum[:], want[:]) == 1
	if !same || !known || !isBearer {
		return home.Reject(http.StatusUnauthorized, "authorization", "the caller is unknown or its token is wrong")
	}
	return nil
}
