package config_test

import (
	"fmt"
	"testing"

	"github.com/banyanspur/banyanspur/config"
	"github.com/banyanspur/banyanspur/types"
)

// newFleet returns a configuration with the given numbers of client accounts,
// each with one key, and of targets.
func newFleet(accounts, targets int) config.Fleet {
	c := config.Change{PutServices: []config.Service{{ID: "s", Kind: config.KindModel}}}
	for i := range accounts {
		a := types.AccountID(fmt.Sprint("account-", i))
		c.PutAccounts = append(c.PutAccounts, config.Account{ID: a, Rate: 1, Burst: 1})
		c.PutKeys = append(c.PutKeys, config.Key{Hash: types.HashKey(string(a)), Account: a})
	}
	for i := range targets {
		c.PutTargets = append(c.PutTargets, config.Target{ID: types.TargetID(fmt.Sprint("target-", i)), Service: "s", Address: "10.0.0.1:80", Zone: "z"})
	}
	var f config.Fleet
	f.Apply(c)
	return f
}

// BenchmarkChange applies and validates one change, as the leader does. It
// reports the encoded sizes of the whole configuration and of the change.
func BenchmarkChange(b *testing.B) {
	for _, accounts := range []int{1000, 4000, 13000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			f := newFleet(accounts, accounts*1800/13000)
			change := config.Change{PutAccounts: []config.Account{{ID: "account-1", Rate: 2, Burst: 1}}}
			b.ResetTimer()
			for range b.N {
				next := f.Clone()
				next.Apply(change)
				if err := next.Check(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(types.Encode(f))), "whole-B")
			b.ReportMetric(float64(len(types.Encode(change))), "change-B")
		})
	}
}
