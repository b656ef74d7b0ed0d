package entry

import (
	"net/http"
	"strings"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/types"
)

// caller is who a request comes from. It holds no key, only its hash.
type caller struct {
	key     types.KeyHash
	account types.AccountID
}

// errInvalidKey is the same for a missing, an unknown and a withdrawn key.
var errInvalidKey = types.NewFault(types.CodeUnauthorized, "the Authorization header must hold Bearer and a valid key")

// authenticate finds the client account of the request's key and strips the
// key from the request, so that no later filter sees it.
func (e *Entry) authenticate(r *http.Request) (caller, error) {
	header := r.Header.Get("Authorization")
	r.Header.Del("Authorization")
	cfg, err := e.config.get(e.Clock())
	if err != nil {
		return caller{}, err
	}
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return caller{}, errInvalidKey
	}
	c := caller{key: types.HashKey(strings.TrimSpace(key))}
	return c, c.resolveAccount(cfg)
}

// resolveAccount looks the key up in a configuration.
func (c *caller) resolveAccount(cfg config.Fleet) error {
	account, ok := cfg.Keys[c.key]
	if !ok {
		return errInvalidKey
	}
	c.account = account
	return nil
}

// recheckCaller tells whether the caller may still be served: the lease holds and
// the key has not been withdrawn since.
func (e *Entry) recheckCaller(c caller) error {
	cfg, err := e.config.get(e.Clock())
	if err != nil {
		return err
	}
	if c.key == "" {
		return nil // A route open to all.
	}
	if cfg.Keys[c.key] != c.account {
		return errInvalidKey
	}
	return nil
}
