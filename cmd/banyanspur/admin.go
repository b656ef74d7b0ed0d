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
	Apply    applyCommand    `command:"apply" description:"Put a revised questionnaire into force"`
	Withdraw withdrawCommand `command:"withdraw" description:"Withdraw a caller's key"`
	Audit    auditCommand    `command:"audit" description:"Print and verify the audit trail"`
	Groups   groupsCommand   `command:"groups" description:"Print the status of the shard groups"`
}

// bindSubcommands gives the subcommands access to the flags of c.
func (c *adminCommand) bindSubcommands() {
	c.Show.admin = c
	c.Apply.admin = c
	c.Withdraw.admin = c
	c.Audit.admin = c
	c.Groups.admin = c
}

// orderTimeout bounds each query of the administration API and each order. For an
// order, it includes resending and waiting until the new version is in force.
const orderTimeout = 30 * time.Second

// adminClient is a client of one host's administration API.
type adminClient struct {
	address string
	key     string
}

func (c *adminCommand) client() (adminClient, error) {
	b, err := os.ReadFile(c.KeyFile)
	if err != nil {
		return adminClient{}, errors.Wrap(err, "banyanspur: read operator's key")
	}
	return adminClient{address: c.Address, key: string(bytes.TrimSpace(b))}, nil
}

// request sends body as JSON and decodes the JSON response. If the status is not
// 200, the error is the [types.Fault] in the response, if there is one.
func request[T any](ctx context.Context, a adminClient, method, path string, body any) (T, error) {
	var v T
	b, err := json.Marshal(body)
	if err != nil {
		return v, errors.Wrap(err, "banyanspur: encode request body")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.address+path, bytes.NewReader(b))
	if err != nil {
		return v, errors.Wrap(err, "banyanspur: create request")
	}
	req.Header.Set("Authorization", "Bearer "+a.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, errors.Wrap(err, "banyanspur: send request")
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(resp.Body)
	if err != nil {
		return v, errors.Wrap(err, "banyanspur: read response")
	}
	if resp.StatusCode != http.StatusOK {
		f := &types.Fault{}
		if json.Unmarshal(response, f) != nil || f.Code == "" {
			return v, errors.Newf("banyanspur: the host responded with status %s", resp.Status)
		}
		return v, f
	}
	return v, errors.Wrap(json.Unmarshal(response, &v), "banyanspur: decode response")
}

// submitOrder submits an order and waits until its version is in force on all
// entry hosts. While there is no decision, it resends the order under the same
// ID.
func (a adminClient) submitOrder(body manage.OrderBody) error {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	start := time.Now()
	decision, err := a.submitUntilDecided(ctx, body)
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
			return errors.Newf("banyanspur: version %d was accepted but is not in force everywhere after %v; still waiting for hosts %v", decision.Version, orderTimeout, reply.PendingHosts)
		}
		time.Sleep(pollInterval)
	}
}

// pollInterval is the interval between retries of an order and between queries
// for the version in force.
const pollInterval = 50 * time.Millisecond

// submitUntilDecided posts an order until the response is a decision or an error
// that a retry cannot resolve, or ctx ends.
func (a adminClient) submitUntilDecided(ctx context.Context, body manage.OrderBody) (admin.Decision, error) {
	for {
		d, err := request[admin.Decision](ctx, a, http.MethodPost, "/admin/v1/orders", body)
		if err == nil || types.IsCode(err, types.CodeBadRequest) || types.IsCode(err, types.CodeConflict) ||
			types.IsCode(err, types.CodeUnauthorized) || ctx.Err() != nil {
			return d, err
		}
		time.Sleep(pollInterval)
	}
}

// fleet returns the configuration in force.
func (a adminClient) fleet() (config.Fleet, error) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	return request[config.Fleet](ctx, a, http.MethodGet, "/admin/v1/configuration", nil)
}

func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "banyanspur: write to standard output")
}

type showCommand struct {
	admin *adminCommand
}

// Execute prints the configuration in force.
func (c *showCommand) Execute([]string) error {
	a, err := c.admin.client()
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
	Order         string  `long:"order" description:"Order ID, to resend an order whose response was lost"`
	Base          *uint64 `long:"base" description:"Version that the revision is based on; default: the version in force"`
}

// Execute submits an order that changes the configuration in force to the one
// generated from the questionnaire.
func (c *applyCommand) Execute([]string) error {
	next, err := readQuestionnaire(c.Questionnaire)
	if err != nil {
		return err
	}
	a, err := c.admin.client()
	if err != nil {
		return err
	}
	current, err := a.fleet()
	if err != nil {
		return err
	}
	change := current.Diff(next)
	if change.Size() == 0 {
		fmt.Printf("version %d already matches the questionnaire\n", current.Version)
		return nil
	}
	body := manage.OrderBody{ID: orderID(c.Order), Base: current.Version, Change: change, Summary: "questionnaire " + c.Questionnaire}
	if c.Base != nil {
		body.Base = types.Version(*c.Base)
	}
	return a.submitOrder(body)
}

// orderID returns the given ID, or a random one if it is empty.
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

// maxWithdrawAttempts is the maximum number of attempts to withdraw a key.
const maxWithdrawAttempts = 10

// Execute withdraws a key. It retries failed attempts, each based on the version
// then in force, since a concurrent change may have replaced the version before.
func (c *withdrawCommand) Execute([]string) error {
	a, err := c.admin.client()
	if err != nil {
		return err
	}
	for range maxWithdrawAttempts {
		current, err := a.fleet()
		if err != nil {
			return err
		}
		hash := types.KeyHash(c.Hash)
		if _, ok := current.Keys[hash]; !ok {
			return errors.Newf("banyanspur: there is no key with hash %s", hash)
		}
		err = a.submitOrder(manage.OrderBody{
			ID: orderID(""), Base: current.Version, Change: config.Change{DropKeys: []types.KeyHash{hash}},
			Summary: fmt.Sprintf("withdraw key %.8s", hash),
		})
		if err == nil {
			return nil
		}
		fmt.Fprintln(os.Stderr, err)
	}
	return errors.New("banyanspur: the key was not withdrawn: all attempts failed")
}

type auditCommand struct {
	admin *adminCommand

	After uint64 `long:"after" description:"Print only the records after this sequence number"`
}

// Execute prints the audit trail, one record per line, and verifies its hash
// chain from the first record on.
func (c *auditCommand) Execute([]string) error {
	a, err := c.admin.client()
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

// Execute prints each control host's report on its replicas, as JSON.
func (c *groupsCommand) Execute([]string) error {
	a, err := c.admin.client()
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
