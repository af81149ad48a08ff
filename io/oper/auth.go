package oper

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/netip"
	"strings"

	"github.com/twitchtv/twirp"

	"snipeshed/core"
)

// requireKey returns a handler that calls next only for requests with the operators' key or, if the settings have no key, for
// requests from loopback.
func (o *Server) requireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := o.authorize(r); err != nil {
			_ = twirp.WriteError(w, toTwirp(err)) // the client may have disconnected
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (o *Server) authorize(r *http.Request) error {
	want := strings.ToLower(o.cfg.GetOperatorKeySha256())
	if want == "" {
		if p, err := netip.ParseAddrPort(r.RemoteAddr); err == nil && p.Addr().Unmap().IsLoopback() {
			return nil
		}
		return &core.Error{
			Kind: core.KindBadCredential, Execution: core.NotExecuted,
			Message: "operators' calls are allowed from loopback only",
			Remedy:  "set operator_key_sha256 in the settings of the instance, or call from the same machine",
		}
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(want)) == 1 {
		return nil
	}
	return &core.Error{
		Kind: core.KindBadCredential, Execution: core.NotExecuted,
		Message: "the operators' key is missing or wrong",
		Remedy:  "send the key whose digest is operator_key_sha256 in the settings of the instance",
	}
}
