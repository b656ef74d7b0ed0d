package host

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/entry"
	"github.com/banyanspur/banyanspur/ledger"
)

// HTTPReleaser is a [Releaser] that uses the HTTP interface of the engines. It
// is safe for concurrent use.
type HTTPReleaser struct {
	// Client looks up the addresses of targets.
	Client *ctrl.Client
	// HTTP sends the requests. It defaults to [http.DefaultClient].
	HTTP *http.Client
}

// Release sends the target a DELETE request for the cached prefix. It also
// returns nil if the target does not have the prefix, or is no longer configured
// and its cache therefore gone.
func (r HTTPReleaser) Release(ctx context.Context, p ledger.CachedPrefix) error {
	reply, err := r.Client.Target(ctx, p.Target)
	if err != nil {
		return err
	}
	if !reply.Found {
		return nil
	}
	url := "http://" + reply.Target.Address + "/v1/holds/" + entry.CacheKey(p.Account, p.Program)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return errors.Wrap(err, "host: release cached prefix")
	}
	client := r.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "host: release cached prefix")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 == 2 || resp.StatusCode == http.StatusNotFound {
		return nil
	}
	return errors.Newf("host: release cached prefix: the target responded with %s", resp.Status)
}
