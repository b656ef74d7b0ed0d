package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
)

// sumBodies adds an engine that passes on the size and the checksum of each body.
func (b *testbed) sumBodies() <-chan string {
	sums := make(chan string, 10)
	b.addTarget("models", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		sums <- sumOf(body)
		streamEvents("one")(w, r)
	})
	return sums
}

func sumOf(b []byte) string { return fmt.Sprintf("%d bytes, %x", len(b), xxhash.Sum64(b)) }

// storeLargeTurn stores a turn of the largest size as "a" and returns its input. again is set if
// the store was too slow.
func (b *testbed) storeLargeTurn(sums <-chan string) (input string, again bool) {
	b.t.Helper()
	input = strings.Repeat("0123456789abcdef", planBodyBytes/16)
	code, _, again := b.sendTurn(turnRequest("a", "", input, "1000"))
	if !again {
		if diff := cmp.Diff(fmt.Sprint(http.StatusOK, sumOf([]byte(input))), fmt.Sprint(code, <-sums)); diff != "" {
			b.t.Errorf("first turn (-want +got):\n%s", diff)
		}
	}
	return input, again
}

// TestLargestTurnIsContinued guards against turns that are damaged where they are sent to the
// stores and to targets in several parts, and against limits that refuse a single one.
func TestLargestTurnIsContinued(t *testing.T) {
	for range maxUnavailable {
		b, _, _ := newCrowdTestbed(t)
		sums := b.sumBodies()
		input, again := b.storeLargeTurn(sums)
		if again {
			continue
		}
		code, _, again := b.sendTurn(turnRequest("b", "a", "next", "1000"))
		if again {
			continue
		}
		if diff := cmp.Diff(fmt.Sprint(http.StatusOK, sumOf([]byte(input+"one\nnext"))), fmt.Sprint(code, <-sums)); diff != "" {
			t.Errorf("second turn (-want +got):\n%s", diff)
		}
		b.awaitReturned()
		return
	}
	t.Error("the store was too slow in each run")
}

// TestTurnsWithoutMemoryAreRefused guards against turns that are sent to a target although the
// host has no memory for what they continue, or for storing them.
func TestTurnsWithoutMemoryAreRefused(t *testing.T) {
	for range maxUnavailable {
		b, _, _ := newCrowdTestbed(t)
		sums := b.sumBodies()
		input, again := b.storeLargeTurn(sums)
		if again {
			continue
		}
		for name, r := range map[string]struct {
			limit   int64
			request testRequest
		}{
			"the chain is too large": {2 << 20, turnRequest("b", "a", "next", "1000")},
			"the copy is too large":  {10 << 20, turnRequest("c", "", input[:3<<20], "1000")},
		} {
			b.gate.Received.SetLimit(r.limit)
			if name == "the copy is too large" {
				h := b.gate.Received.Open("band", func() {})
				if err := h.Add(2 << 20); err != nil {
					t.Fatal(err)
				}
				defer h.Close()
			}
			resp := b.do(t.Context(), r.request)
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" || !strings.Contains(string(body), "memory") {
				t.Errorf("%s: status %d, %s", name, resp.StatusCode, body)
			}
		}
		if len(sums) > 0 {
			t.Error("a refused turn has run")
		}
		return
	}
	t.Error("the store was too slow in each run")
}
