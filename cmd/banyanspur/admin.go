package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanspur/banyanspur/admin"
	"github.com/banyanspur/banyanspur/audit"
	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/ctrl"
	"github.com/banyanspur/banyanspur/manage"
	"github.com/banyanspur/banyanspur/types"
)

type adminCommand struct {
	Address string `long:"address" required:"true" description:"Admin address of any host, IP:port"`
	KeyFile string `long:"key-file" required:"true" description:"File with the operator's key"`

	Show     showCommand     `command:"show" description:"Print the configuration in force"`
	Apply    applyCommand    `command:"apply" description:"Bring a revised questionnaire into force"`
	Withdraw withdrawCommand `command:"withdraw" description:"Withdraw a caller's key"`
	Audit    auditCommand    `command:"audit" description:"Print and verify the audit trail"`
	Groups   groupsCommand   `command:"groups" description:"Print how the shard groups stand"`
}

// share gives the sub-commands what all of them need.
func (c *adminCommand) share() {
	c.Show.admin = c
	c.Apply.admin = c
	c.Withdraw.admin = c
	c.Audit.admin = c
	c.Groups.admin = c
}

// orderTimeout bounds how long an order is resent and waited for.
const orderTimeout = 30 * time.Second

// api asks the administration interface.
type api struct {
	address string
	key     string
}

func (c *adminCommand) api() (api, error) {
	b, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return api{}, errors.Wrap(err, "banyanspur: read operator's key")
	}
	return api{address: c.Address, key: string(bytes.TrimSpace(b))}, nil
}

// request sends one request and decodes the answer.
func request[T any](ctx context.Context, a api, method, path string, body any) (T, error) {
	var v T
	b, err := json.Marshal(body)
	if err != nil {
		return v, errors.Wrap(err, "banyanspur: encode")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.address+path, bytes.NewReader(b))
	if err != nil {
		return v, errors.Wrap(err, "banyanspur: request")
	}
	req.Header.Set("Authorization", "Bearer "+a.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, errors.Wrap(err, "banyanspur: request")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return v, errors.Wrap(err, "banyanspur: answer")
	}
	if resp.StatusCode != http.StatusOK {
		f := &types.Fault{}
		if json.Unmarshal(answer, f) != nil || f.Code == "" {
			return v, errors.Newf("banyanspur: the host answered %s", resp.Status)
		}
		return v, f
	}
	return v, errors.Wrap(json.Unmarshal(answer, &v), "banyanspur: answer")
}

// order gives an order, resends it under the same id while no answer comes,
// and waits until it is in force everywhere.
func (a api) order(body manage.OrderBody) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	start := time.Now()
	decision, err := a.decide(ctx, body)
	if err != nil {
		return err
	}
	if !decision.Accepted {
		return errors.Newf("banyanspur: order %s was refused: %s", decision.Order, decision.Reason)
	}
	fmt.Printf("order %s accepted as version %d\n", decision.Order, decision.Version)
	for {
		reply, err := request[ctrl.InForceReply](ctx, a, http.MethodGet, fmt.Sprintf("/admin/v1/versions/%d", decision.Version), nil)
		if err == nil && reply.InForce {
			fmt.Printf("version %d is in force everywhere after %v\n", decision.Version, time.Since(start).Round(time.Millisecond))
			return nil
		}
		if ctx.Err() != nil {
			return errors.Newf("banyanspur: version %d is accepted, and was not in force everywhere after %v; waiting for %v", decision.Version, orderTimeout, reply.Waiting)
		}
		time.Sleep(pollInterval)
	}
}

// pollInterval is how often an operator's command asks again.
const pollInterval = 50 * time.Millisecond

func (a api) decide(ctx context.Context, body manage.OrderBody) (admin.Decision, error) {
	for {
		d, err := request[admin.Decision](ctx, a, http.MethodPost, "/admin/v1/orders", body)
		if err == nil || types.IsCode(err, types.CodeBadRequest) || types.IsCode(err, types.CodeConflict) ||
			types.IsCode(err, types.CodeUnauthorized) || ctx.Err() != nil {
			return d, err
		}
		time.Sleep(pollInterval)
	}
}

func (a api) fleet() (config.Fleet, error) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	return request[config.Fleet](ctx, a, http.MethodGet, "/admin/v1/configuration", nil)
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "banyanspur: print")
}

type showCommand struct {
	admin *adminCommand
}

// Execute prints the configuration in force.
func (c *showCommand) Execute([]string) error {
	a, err := c.admin.api()
	if err != nil {
		return err
	}
	fleet, err := a.fleet()
	if err != nil {
		return err
	}
	return printJSON(fleet)
}

type applyCommand struct {
	admin *adminCommand

	Questionnaire string  `long:"questionnaire" short:"q" required:"true" description:"Questionnaire (TOML)"`
	Order         string  `long:"order" description:"Order id, to resend an order whose answer was lost"`
	Base          *uint64 `long:"base" description:"Version that the revision is based on; the version in force if not given"`
}

// Execute gives the order that turns the configuration in force into the one
// that the questionnaire generates.
func (c *applyCommand) Execute([]string) error {
	next, err := readQuestionnaire(c.Questionnaire)
	if err != nil {
		return err
	}
	a, err := c.admin.api()
	if err != nil {
		return err
	}
	current, err := a.fleet()
	if err != nil {
		return err
	}
	change := current.Diff(next)
	if change.Size() == 0 {
		fmt.Printf("version %d says all of this already\n", current.Version)
		return nil
	}
	body := manage.OrderBody{ID: orderID(c.Order), Base: current.Version, Change: change, Summary: "questionnaire " + c.Questionnaire}
	if c.Base != nil {
		body.Base = types.Version(*c.Base)
	}
	return a.order(body)
}

func orderID(given string) types.OrderID {
	if given != "" {
		return types.OrderID(given)
	}
	return types.OrderID(types.RandomID())
}

type withdrawCommand struct {
	admin *adminCommand

	Hash string `long:"hash" required:"true" description:"Hash of the key"`
}

// withdrawTries bounds how often a withdrawal is based on a newer version.
const withdrawTries = 10

// Execute withdraws a key, whatever version is in force.
func (c *withdrawCommand) Execute([]string) error {
	a, err := c.admin.api()
	if err != nil {
		return err
	}
	for range withdrawTries {
		current, err := a.fleet()
		if err != nil {
			return err
		}
		hash := types.KeyHash(c.Hash)
		if _, ok := current.Keys[hash]; !ok {
			return errors.Newf("banyanspur: no key has the hash %s", hash)
		}
		err = a.order(manage.OrderBody{
			ID: orderID(""), Base: current.Version, Change: config.Change{DropKeys: []types.KeyHash{hash}},
			Summary: fmt.Sprintf("withdraw key %.8s", hash),
		})
		if err == nil {
			return nil
		}
		fmt.Fprintln(os.Stderr, err)
	}
	return errors.New("banyanspur: the key could not be withdrawn")
}

type auditCommand struct {
	admin *adminCommand

	After uint64 `long:"after" description:"Print records that follow this one"`
}

// Execute prints the trail, one record a line, and verifies its chain.
func (c *auditCommand) Execute([]string) error {
	a, err := c.admin.api()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	var last audit.Record
	for after := uint64(0); ; after = last.Seq {
		page, err := request[ctrl.TrailReply](ctx, a, http.MethodGet, fmt.Sprintf("/admin/v1/audit?after=%d", after), nil)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			fmt.Printf("%d records, the chain is whole; last hash %s\n", last.Seq, last.Hash)
			return nil
		}
		if err := audit.Verify(last, page.Records); err != nil {
			return err
		}
		for _, r := range page.Records {
			if r.Seq > c.After {
				printRecord(r)
			}
		}
		last = page.Records[len(page.Records)-1]
	}
}

func printRecord(r audit.Record) {
	fmt.Printf("%d %s %s order %s: %s: version %d to %d: %s\n",
		r.Seq, r.At.Format(time.RFC3339), r.Operator, r.Order, r.Summary, r.From, r.To, r.Outcome)
}

type groupsCommand struct {
	admin *adminCommand
}

// Execute prints what every control host says of its replicas.
func (c *groupsCommand) Execute([]string) error {
	a, err := c.admin.api()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	groups, err := request[[]manage.HostGroups](ctx, a, http.MethodGet, "/admin/v1/groups", nil)
	if err != nil {
		return err
	}
	return printJSON(groups)
}
