package host

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/entry"
	"github.com/banyanspur/banyanspur/ledger"
)

// HTTPReleaser gives memory back through the engines' HTTP interface. It is
// safe for concurrent use.
type HTTPReleaser struct {
	// Client finds the targets' addresses.
	Client *ctrl.Client
	// HTTP sends the requests. It defaults to [http.DefaultClient].
	HTTP *http.Client
}

// Release asks the target to let go. A target that is not configured any more
// is gone, and its memory with it.
func (r HTTPReleaser) Release(ctx context.Context, h ledger.Holding) error {
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
		return errors.Wrap(err, "host: release")
	}
	client := r.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "host: release")
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 == 2 || resp.StatusCode == http.StatusNotFound {
		return nil
	}
	return errors.Newf("host: release: the target answered %s", resp.Status)
}
