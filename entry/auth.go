package entry

import (
	"net/http"
	"strings"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/types"
)

// caller identifies the sender of a request. It contains the hash of the key,
// never the key itself. The zero value is an unauthenticated caller.
type caller struct {
	key     types.KeyHash
	account types.AccountID
}

// errInvalidKey is returned for missing, unknown and revoked keys alike.
var errInvalidKey = types.NewFault(types.CodeUnauthorized, "the Authorization header must contain Bearer and a valid key")

// authenticate returns the caller that the request's key belongs to. It removes
// the key from the request, so that no later stage can read it.
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

// resolveAccount sets the client account that the key has in cfg. It returns
// errInvalidKey if the key is not configured.
func (c *caller) resolveAccount(cfg config.Fleet) error {
	account, ok := cfg.Keys[c.key]
	if !ok {
		return errInvalidKey
	}
	c.account = account
	return nil
}

// recheckCaller returns an error if the caller may no longer be served: the
// configuration lease has expired, or the key has been revoked since it was
// authenticated.
func (e *Entry) recheckCaller(c caller) error {
	cfg, err := e.config.get(e.Clock())
	if err != nil {
		return err
	}
	if c.key == "" {
		return nil // Anonymous services need no key.
	}
	if cfg.Keys[c.key] != c.account {
		return errInvalidKey
	}
	return nil
}
