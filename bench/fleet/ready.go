package fleet

import (
	"encoding/json"
	"net/netip"
	"strings"
)

// readyFields returns the fields of a ready line, or nil for any other line. The
// ready line of a stand-in is its address, returned as "listen". That of an
// entry instance is a JSON object with "ready" and its two addresses.
func readyFields(line string) map[string]string {
	line = strings.TrimSpace(line)
	if _, err := netip.ParseAddrPort(line); err == nil {
		return map[string]string{"listen": line}
	}
	var m struct {
		Ready      bool   `json:"ready"`
		Listen     string `json:"listen"`
		PeerListen string `json:"peer_listen"`
	}
	if json.Unmarshal([]byte(line), &m) != nil || m.Listen == "" || m.PeerListen == "" {
		return nil
	}
	return map[string]string{"listen": m.Listen, "peer_listen": m.PeerListen}
}
