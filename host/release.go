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

// Release sends the target a DELETE request for the holding. It returns nil if
// the target is no longer configured, since its memory is gone with it.
func (r HTTPReleaser) Release(ctx context.Context, h ledger.CachedPrefix) error {
	reply, err := r.Client.Target(ctx, h.Target)
	if err != nil {
		return err
	}
	if !reply.Found {
		return nil
	}
	url := "http://" + reply.Target.Address + "/v1/holds/" + entry.HoldName(h.Account, h.Program)
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return errors.Wrap(err, "host: release memory")
	}
	client := r.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "host: release memory")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 == 2 || resp.StatusCode == http.StatusNotFound {
		return nil
	}
	return errors.Newf("host: release memory: the target answered %s", resp.Status)
}
