// Command standin runs one stand-in target, which simulates an inference engine
// or a service. It is for tests, demonstrations and measurements only.
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
	Role          string        `long:"role" choice:"engine" choice:"service" required:"true" description:"Kind of target to simulate"`
	Listen        string        `long:"listen" required:"true" description:"Address to listen on, IP:port"`
	Slots         int           `long:"slots" description:"Maximum batch size of an engine"`
	Prefill       float64       `long:"prefill" description:"Prefill rate of an engine, in prompt tokens per second"`
	TokenTime     time.Duration `long:"token-time" description:"Duration of a decoding step"`
	Cache         int           `long:"cache" description:"Prompt cache capacity of an engine, in tokens"`
	Answer        int           `long:"answer" description:"Length of an answer, in tokens"`
	LoadLag       time.Duration `long:"load-lag" description:"Age of the load in the load reports of an engine"`
	EventLag      time.Duration `long:"event-lag" description:"Delay of the cache events of an engine"`
	EventLoss     float64       `long:"event-loss" description:"Fraction of cache events that are lost"`
	ChecksFencing bool          `long:"fenced" description:"Reject orders with a stale fencing token"`
	Delay         time.Duration `long:"delay" description:"Duration of a call to a service"`
	Seed          uint64        `long:"seed" description:"Seed of the random number generator"`
}

func (o options) handler() http.Handler {
	if o.Role == "service" {
		return &fakes.Service{Delay: o.Delay}
	}
	e := &fakes.Engine{
		Slots: o.Slots, PrefillRate: o.Prefill, TokenTime: o.TokenTime, CacheTokens: o.Cache, AnswerTokens: o.Answer,
		LoadLag: o.LoadLag, EventLag: o.EventLag, EventLoss: o.EventLoss, ChecksFencing: o.ChecksFencing, Seed: o.Seed,
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
