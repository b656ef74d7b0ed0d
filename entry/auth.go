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

// errNoKey is the same for a missing, an unknown and a withdrawn key.
var errNoKey = types.NewFault(types.CodeUnauthorized, "the Authorization header must hold Bearer and a valid key")

// authenticate finds the client account of the request's key and strips the
// key from the request, so that no later filter sees it.
func (e *Entry) authenticate(r *http.Request) (caller, error) {
	header := r.Header.Get("Authorization")
	r.Header.Del("Authorization")
	fleet, err := e.view.get(e.Clock())
	if err != nil {
		return caller{}, err
	}
	scheme, key, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return caller{}, errNoKey
	}
	c := caller{key: types.HashKey(strings.TrimSpace(key))}
	return c, c.find(fleet)
}

// find looks the key up in a configuration.
func (c *caller) find(fleet config.Fleet) error {
	account, ok := fleet.Keys[c.key]
	if !ok {
		return errNoKey
	}
	c.account = account
	return nil
}

// recheck tells whether the caller may still be served: the lease holds and
// the key has not been withdrawn since.
func (e *Entry) recheck(c caller) error {
	fleet, err := e.view.get(e.Clock())
	if err != nil {
		return err
	}
	if c.key == "" {
		return nil // A route open to all.
	}
	if fleet.Keys[c.key] != c.account {
		return errNoKey
	}
	return nil
}
