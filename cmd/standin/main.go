// Command standin runs one stand-in target: a model engine or a service. It is
// for tests, demonstrations and measurements only.
package main

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/banyanspur/banyanspur/fakes"
)

type options struct {
	Role      string        `long:"role" choice:"engine" choice:"service" required:"true" description:"What to stand in for"`
	Listen    string        `long:"listen" required:"true" description:"IP:port"`
	Slots     int           `long:"slots" description:"Calls that an engine batches"`
	Prefill   float64       `long:"prefill" description:"Prompt tokens that an engine computes a second"`
	TokenTime time.Duration `long:"token-time" description:"Time of one decoding step"`
	Cache     int           `long:"cache" description:"Tokens that an engine caches"`
	Answer    int           `long:"answer" description:"Tokens of an answer"`
	LoadLag   time.Duration `long:"load-lag" description:"Age of the reported load"`
	EventLag  time.Duration `long:"event-lag" description:"Delay of cache events"`
	EventLoss float64       `long:"event-loss" description:"Share of cache events that is lost"`
	Fenced    bool          `long:"fenced" description:"Refuse orders with an old fencing number"`
	Delay     time.Duration `long:"delay" description:"Time of a service's call"`
	Seed      uint64        `long:"seed" description:"Seed of all random choices"`
}

func (o options) handler() http.Handler {
	if o.Role == "service" {
		return &fakes.Service{Delay: o.Delay}
	}
	e := &fakes.Engine{
		Slots: o.Slots, PrefillRate: o.Prefill, TokenTime: o.TokenTime, CacheTokens: o.Cache, AnswerTokens: o.Answer,
		LoadLag: o.LoadLag, EventLag: o.EventLag, EventLoss: o.EventLoss, Fenced: o.Fenced, Seed: o.Seed,
	}
	return e.Handler()
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	server := &http.Server{Addr: o.Listen, Handler: o.handler(), ReadHeaderTimeout: time.Second}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(1)
}
